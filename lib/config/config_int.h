/**
 * @file config_int.h
 * @brief Parts of the configuration that only its own files use.
 */
#ifndef FFL_CONFIG_INT_H
#define FFL_CONFIG_INT_H

#include "fireflyledge/config.h"

/** Applies an intent; returns the revision that it replaced, or 0. */
uint64_t ffl_config_change(ffl_config_t *cfg, uint64_t revision,
			   const ffl_intent_t *intent);

/** Returns the hash of an audit entry chained to the one before. */
uint64_t ffl_audit_chain(uint64_t previous, const ffl_audit_t *entry);

#endif
