/**
 * @file region.h
 * @brief A run of neighbouring workers: whole ones, the last one in part.
 */
#ifndef FFL_REGION_H
#define FFL_REGION_H

#include "fireflyledge/types.h"

typedef struct {
	ffl_name_t worker;   /**< first worker, to find it in a later list */
	uint32_t first;	     /**< its place in the cell's order */
	uint32_t count;	     /**< workers; 0 is no region */
	uint64_t last_slots; /**< slots of the last worker */
} ffl_region_t;

#endif
