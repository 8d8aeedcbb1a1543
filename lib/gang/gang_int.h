/**
 * @file gang_int.h
 * @brief Parts of the gangs that only their own files use.
 */
#ifndef FFL_GANG_INT_H
#define FFL_GANG_INT_H

#include "fireflyledge/gang.h"

ffl_job_t *ffl_job_find(const ffl_gangs_t *g, uint64_t id);

#endif
