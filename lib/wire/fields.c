/**
 * @file fields.c
 * @brief Enum names with the signature that schemas need.
 */
#include "lib/wire/fields.h"

const char *ffl_field_adjacency_name(uint32_t value)
{
	return ffl_adjacency_name((ffl_adjacency_t)value);
}

const char *ffl_field_urgency_name(uint32_t value)
{
	return ffl_urgency_name((ffl_urgency_t)value);
}

const char *ffl_field_status_name(uint32_t value)
{
	return ffl_status_name((ffl_status_t)value);
}
