#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/netaddr.h"
#include "fireflyledge/types.h"

bool ffld_netaddr_parse(const char *text, struct sockaddr_in *out)
{
	char ip[FFL_ADDR_BYTES];
	char *colon;

	if (!ffl_copy(ip, sizeof(ip), text))
		return false;
	colon = strrchr(ip, ':');
	if (!colon)
		return false;
	*colon = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}
