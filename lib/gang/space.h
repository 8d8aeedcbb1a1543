/**
 * @file space.h
 * @brief The workers of one cell in order, and what each slot is given to.
 */
#ifndef FFL_SPACE_H
#define FFL_SPACE_H

#include "fireflyledge/gang.h"
#include "fireflyledge/region.h"

/** A worker of the cell. */
typedef struct {
	ffl_worker_t *w;
	uint64_t all;
	uint64_t owned;	   /**< held by a job that is known */
	uint64_t pinned;   /**< held inside a guarantee */
	uint64_t promised; /**< regions of guarantees, pinned or not */
	uint64_t claimed;  /**< kept for a queued job until it starts */
	uint64_t reserved; /**< kept for the blocked job with a reservation */
	uint32_t owner;	   /**< first of its owners, index + 1 */
	uint32_t rack;	   /**< first node of its rack */
	uint32_t fresh;	   /**< of a rack's first node: unused workers */
	bool open;	   /**< may be given new work */
} ffl_node_t;

/** A job that holds slots of a worker. */
typedef struct {
	ffl_job_t *job;
	uint64_t slots;
	uint64_t end_ms; /**< expected end; 0 before it is asked for */
	uint64_t lost;	 /**< accelerator time lost if it is stopped */
	uint32_t rank;	 /**< in the order of yielding; 0 before asked for */
	uint32_t next;	 /**< index + 1 */
} ffl_owner_t;

typedef struct ffl_space {
	GArray *nodes;	   /**< of ffl_node_t, by rack, position */
	GArray *owners;	   /**< of ffl_owner_t */
	GHashTable *index; /**< node + 1 by worker name */
	uint64_t list_version;
	const void *list;      /**< memory of the fleet's workers */
	uint32_t accelerators; /**< of open workers */
} ffl_space_t;

/** What a search looks for. */
typedef struct {
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	uint32_t cores;	    /**< for each accelerator */
	uint32_t memory_mb; /**< for each accelerator */
} ffl_shape_t;

/** Cost of a region that is not allowed. */
#define FFL_COST_NONE UINT64_MAX

/** Returns the cost of a region; 0 ends the search. */
typedef uint64_t (*ffl_cost_fn_t)(const ffl_space_t *sp, const ffl_region_t *r,
				  void *arg);

void ffl_space_init(ffl_space_t *sp);
void ffl_space_finish(ffl_space_t *sp);
/** Reads a cell's workers and the jobs that hold their slots. */
void ffl_space_build(ffl_space_t *sp, const ffl_fleet_t *fleet, const char *dc,
		     const ffl_gangs_t *g);

static inline ffl_node_t *ffl_node(const ffl_space_t *sp, uint32_t i)
{
	return &g_array_index(sp->nodes, ffl_node_t, i);
}

static inline ffl_owner_t *ffl_owner(const ffl_space_t *sp, uint32_t link)
{
	return &g_array_index(sp->owners, ffl_owner_t, link - 1);
}

/** Finds a worker; false where the cell has none of this name. */
bool ffl_space_find(const ffl_space_t *sp, const char *name, uint32_t *node);
/** Notes that a job holds slots. */
void ffl_space_own(ffl_space_t *sp, uint32_t node, ffl_job_t *job,
		   uint64_t slots);

/** Returns the slots that a region has on its n-th worker. */
uint64_t ffl_region_slots(const ffl_space_t *sp, const ffl_region_t *r,
			  uint32_t n);
/** Returns the slots that a region has on a worker of the cell. */
uint64_t ffl_region_on(const ffl_space_t *sp, const ffl_region_t *r,
		       uint32_t node);
uint32_t ffl_region_accelerators(const ffl_space_t *sp, const ffl_region_t *r);
/** Tells whether every slot is free now. */
bool ffl_region_free(const ffl_space_t *sp, const ffl_region_t *r);
/** Tells whether every worker may be given new work. */
bool ffl_region_open(const ffl_space_t *sp, const ffl_region_t *r);
bool ffl_region_inside(const ffl_space_t *sp, const ffl_region_t *inner,
		       const ffl_region_t *outer);
bool ffl_regions_overlap(const ffl_space_t *sp, const ffl_region_t *a,
			 const ffl_region_t *b);
/** Tells whether a region is adjacent in the sense of a shape. */
bool ffl_region_adjacent(const ffl_space_t *sp, const ffl_region_t *r,
			 ffl_adjacency_t adjacency);
/** Finds the region that a job's members occupy. */
bool ffl_region_of_job(const ffl_space_t *sp, const ffl_job_t *job,
		       ffl_region_t *r);
/** Finds a region again by its first worker's name. */
bool ffl_region_of_names(const ffl_space_t *sp, ffl_region_t *r);
void ffl_region_place(const ffl_space_t *sp, const ffl_region_t *r,
		      ffl_placement_t *place);

/** Returns the shape that a job asks for. */
ffl_shape_t ffl_job_shape(const ffl_job_spec_t *spec);

/**
 * Finds the region of a shape with the least cost; the first of equals.
 *
 * @return the cost, or FFL_COST_NONE where no region is allowed
 */
uint64_t ffl_region_search(const ffl_space_t *sp, const ffl_shape_t *shape,
			   ffl_cost_fn_t cost, void *arg, ffl_region_t *best);

#endif
