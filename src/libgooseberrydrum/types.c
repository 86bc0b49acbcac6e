#include "gooseberrydrum/types.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

const char *const gbd_status_strings[GBD_STATUS_COUNT] = {
  "no error",
  "out of memory or over a maximum; raise the maximum or the memory limit",
  "malformed input; compare it with the format in docs/OPERATIONS.md",
  "value out of range; use a value in the range that --help lists",
  "not found; check the name with `gooseberrydrum status`",
  "another change was accepted first; read the current lists and apply again",
  "not reachable; try again, or check that the platform is running",
  "effect not known; read the current state before trying again",
  "older than the version in use; read the current version",
};

uint64_t
gbd_id_from_name (const char *name)
{
  uint64_t id = XXH3_64bits (name, strlen (name));
  return id ? id : 1;
}

gbd_zone_id_t
gbd_zone_from_name (const char *name)
{
  gbd_zone_id_t id = (gbd_zone_id_t)gbd_id_from_name (name);
  return id ? id : 1;
}

uint64_t
gbd_rendezvous_weight (uint64_t member, uint64_t key)
{
  uint64_t pair[2] = { member, key };
  return XXH3_64bits (pair, sizeof pair);
}

bool
gbd_instances_contain (const gbd_instance_id_t *ids, uint32_t count,
                       gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (ids[i] == id)
        return true;
    }
  return false;
}

bool
gbd_address_is_equal (const gbd_address_t *a, const gbd_address_t *b)
{
  return a->family == b->family && a->port == b->port
         && memcmp (a->ip, b->ip, sizeof a->ip) == 0;
}

bool
gbd_address_is_loopback (const gbd_address_t *address)
{
  static const uint8_t ipv6[16] = { [15] = 1 };
  if (address->family == 4)
    return address->ip[0] == 127;
  return memcmp (address->ip, ipv6, sizeof ipv6) == 0;
}

gbd_status_t
gbd_address_parse (const char *text, gbd_address_t *address)
{
  char host[GBD_ADDRESS_TEXT_MAX];
  const char *colon = strrchr (text, ':');
  if (!colon || (size_t)(colon - text) >= sizeof host)
    return GBD_ERROR_FORMAT;

  char *end;
  unsigned long port = strtoul (colon + 1, &end, 10);
  if (colon[1] < '0' || colon[1] > '9' || *end || port < 1 || port > 65535)
    return GBD_ERROR_FORMAT;

  size_t length = (size_t)(colon - text);
  memcpy (host, text, length);
  host[length] = '\0';
  memset (address, 0, sizeof *address);
  address->port = (uint16_t)port;

  if (inet_pton (AF_INET, host, address->ip) == 1)
    {
      address->family = 4;
      return GBD_OK;
    }
  if (length < 3 || host[0] != '[' || host[length - 1] != ']')
    return GBD_ERROR_FORMAT;
  host[length - 1] = '\0';
  if (inet_pton (AF_INET6, host + 1, address->ip) != 1)
    return GBD_ERROR_FORMAT;
  address->family = 6;
  return GBD_OK;
}

void
gbd_address_format (const gbd_address_t *address, char *text)
{
  char host[INET6_ADDRSTRLEN];
  bool is_ipv6 = address->family == 6;
  inet_ntop (is_ipv6 ? AF_INET6 : AF_INET, address->ip, host, sizeof host);
  snprintf (text, GBD_ADDRESS_TEXT_MAX, is_ipv6 ? "[%s]:%u" : "%s:%u", host,
            address->port);
}
