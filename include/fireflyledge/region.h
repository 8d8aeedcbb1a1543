/**
 * @file region.h
 * @brief A range of neighbouring workers that can hold a gang.
 *
 * It has all slots of each worker but the last, of which it may have only some.
 * Not to be confused with the geographical region of a data centre.
 */
#ifndef FFL_REGION_H
#define FFL_REGION_H

#include "fireflyledge/types.h"

/** A range of workers in the order of their cell. */
typedef struct {
	ffl_name_t worker;   /**< first worker, to find it in a later list */
	uint32_t first;	     /**< index of the first worker in the cell */
	uint32_t count;	     /**< workers; 0: no region */
	uint64_t last_slots; /**< mask of the slots of the last worker */
} ffl_region_t;

#endif
