/**
 * @file netaddr.h
 * @brief Numeric IPv4 "ip:port" addresses.
 */
#ifndef FFLD_NETADDR_H
#define FFLD_NETADDR_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parses "ip:port"; returns false if @p text is not of that form. */
bool ffld_netaddr_parse(const char *text, struct sockaddr_in *out);

#endif
