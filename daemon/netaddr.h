/**
 * @file netaddr.h
 * @brief Numeric "ip:port" addresses.
 */
#ifndef FFLD_NETADDR_H
#define FFLD_NETADDR_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parses "ip:port"; returns false where it is not one. */
bool ffld_netaddr(const char *text, struct sockaddr_in *out);

#endif
