/**
 * @file space.h
 * @brief The workers of one cell in order, and the use of each slot.
 */
#ifndef FFL_SPACE_H
#define FFL_SPACE_H

#include "fireflyledge/gang.h"
#include "fireflyledge/region.h"

/** A worker of the cell. Masks have one bit for each slot. */
typedef struct {
	ffl_worker_t *w;
	uint64_t all_slots;
	uint64_t owned;	   /**< held by a job that is known */
	uint64_t pinned;   /**< held or claimed inside a guarantee */
	uint64_t promised; /**< in regions of guarantees, or pinned */
	uint64_t claimed;  /**< kept for a queued job until it starts */
	uint64_t reserved; /**< kept for the blocked job with a reservation */
	uint32_t owner;	   /**< first of its owners, index + 1; 0 none */
	uint32_t rack;	   /**< index of the first worker of its rack */
	uint32_t idle_workers; /**< unused ones of the rack; set on its first */
	bool open;	       /**< may be given new work */
} ffl_space_worker_t;

/** A job that holds slots of a worker. */
typedef struct {
	ffl_job_t *job;
	uint64_t slots;
	uint64_t end_ms;	/**< expected end; 0 until computed */
	uint64_t lost_accel_ms; /**< accelerator time lost by a preemption */
	uint32_t rank;		/**< preemption rank; 0 until computed */
	uint32_t next; /**< next owner of the same worker, index + 1; 0 none */
} ffl_owner_t;

/** The workers of a cell. */
typedef struct ffl_space {
	GArray *workers;   /**< of ffl_space_worker_t, by rack, position */
	GArray *owners;	   /**< of ffl_owner_t */
	GHashTable *index; /**< index of a worker + 1 by its name */
	uint64_t list_version;
	const void *list_data; /**< address of the fleet's list that was read */
	uint32_t accelerators; /**< of open workers */
} ffl_space_t;

/** Shape that a search looks for. */
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
/**
 * Reads a cell's workers and the jobs that hold their slots; clears what was
 * pinned, promised, claimed and reserved.
 *
 * @param g may be NULL: no jobs
 */
void ffl_space_build(ffl_space_t *sp, const ffl_fleet_t *fleet, const char *dc,
		     const ffl_gangs_t *g);

static inline ffl_space_worker_t *ffl_space_worker(const ffl_space_t *sp,
						   uint32_t i)
{
	return &g_array_index(sp->workers, ffl_space_worker_t, i);
}

static inline ffl_owner_t *ffl_owner(const ffl_space_t *sp, uint32_t link)
{
	return &g_array_index(sp->owners, ffl_owner_t, link - 1);
}

/** Finds a worker's index; returns false if the cell has none of the name. */
bool ffl_space_find(const ffl_space_t *sp, const char *name, uint32_t *index);
/** Records that a job holds slots of a worker. */
void ffl_space_add_owner(ffl_space_t *sp, uint32_t index, ffl_job_t *job,
			 uint64_t slots);

/** Returns the slots that a region has on its n-th worker. */
uint64_t ffl_region_slots(const ffl_space_t *sp, const ffl_region_t *r,
			  uint32_t n);
/** Returns the slots that a region has on the cell's worker @p index. */
uint64_t ffl_region_slots_on(const ffl_space_t *sp, const ffl_region_t *r,
			     uint32_t index);
uint32_t ffl_region_accelerators(const ffl_space_t *sp, const ffl_region_t *r);
/** Returns true if every slot is free now. */
bool ffl_region_is_free(const ffl_space_t *sp, const ffl_region_t *r);
/** Returns true if every worker may be given new work. */
bool ffl_region_is_open(const ffl_space_t *sp, const ffl_region_t *r);
/** Returns true if all slots of @p inner are slots of @p outer. */
bool ffl_region_inside(const ffl_space_t *sp, const ffl_region_t *inner,
		       const ffl_region_t *outer);
bool ffl_regions_overlap(const ffl_space_t *sp, const ffl_region_t *a,
			 const ffl_region_t *b);
/** Returns true if a region's workers satisfy a shape's adjacency. */
bool ffl_region_adjacent(const ffl_space_t *sp, const ffl_region_t *r,
			 ffl_adjacency_t adjacency);
/** Finds the region that a job's parts occupy; false if they form none. */
bool ffl_region_of_job(const ffl_space_t *sp, const ffl_job_t *job,
		       ffl_region_t *r);
/**
 * Looks a region's first worker up by name and sets its index, after the
 * host list may have changed; returns false if the region no longer exists.
 */
bool ffl_region_resolve(const ffl_space_t *sp, ffl_region_t *r);
void ffl_region_to_placement(const ffl_space_t *sp, const ffl_region_t *r,
			     ffl_placement_t *place);

/** Returns the shape that a job asks for. */
ffl_shape_t ffl_job_shape(const ffl_job_spec_t *spec);

/**
 * Finds the region of a shape with the least cost; the first of equals.
 *
 * @return the cost, or FFL_COST_NONE if no region is allowed
 */
uint64_t ffl_region_search(const ffl_space_t *sp, const ffl_shape_t *shape,
			   ffl_cost_fn_t cost, void *arg, ffl_region_t *best);

#endif
