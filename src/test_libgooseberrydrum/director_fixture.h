/** @file director_fixture.h
 *  A director with two services in two zones, and packets of their callers.
 */
#ifndef TEST_DIRECTOR_FIXTURE_H
#define TEST_DIRECTOR_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "gooseberrydrum/director.h"

#define KEY 0x1234567890abcdefu
#define START (1000 * GBD_SECOND)
#define FLOWS 1024

static inline gbd_address_t
parse_address (const char *text)
{
  gbd_address_t address;
  assert_int_equal (gbd_address_parse (text, &address), GBD_OK);
  return address;
}

static inline gbd_pool_entry_t
make_entry (gbd_backend_id_t id, const char *service, const char *zone)
{
  gbd_pool_entry_t entry = {
    .backend = { .id = id,
                 .address = parse_address ("10.1.64.1:8000"),
                 .zone = gbd_zone_from_name (zone),
                 .state = GBD_BACKEND_READY },
    .service = gbd_id_from_name (service),
    .slots = 2,
    .start_time_ms = 1,
  };
  entry.backend.address.ip[3] = (uint8_t)id;
  snprintf (entry.name, sizeof entry.name, "i-%llx", (unsigned long long)id);
  return entry;
}

static inline void
put_entry (gbd_director_t *director, const gbd_pool_entry_t *entry,
           gbd_time_t now)
{
  assert_int_equal (
      gbd_pool_put (gbd_director_get_pool (director), entry, now), GBD_OK);
}

static inline gbd_routes_t *
make_routes (uint64_t version, const char *service)
{
  gbd_routes_t *routes = gbd_routes_new (version);
  gbd_route_t route = { .address = parse_address ("198.18.0.1:443"),
                        .target_count = 1,
                        .targets = { { gbd_id_from_name (service), 1 } } };
  assert_int_equal (gbd_routes_add (routes, &route), GBD_OK);
  return routes;
}

/* A director without key, routes and backend servers. */
static inline gbd_director_t *
make_director (void)
{
  gbd_director_settings_t settings
      = { .zone = gbd_zone_from_name ("a"), .flow_capacity = FLOWS };
  gbd_director_t *director = gbd_director_new (&settings);
  assert_non_null (director);
  return director;
}

/* A ready director.  Backend servers 1 to 3 of "web" are in zone a, 4 of "web"
   in zone b, 5 of "mail" in zone a. */
static inline gbd_director_t *
make_ready_director (void)
{
  gbd_director_t *director = make_director ();
  gbd_pool_t *pool = gbd_director_get_pool (director);
  gbd_director_set_key (director, KEY);
  assert_int_equal (gbd_director_set_routes (director, make_routes (1, "web")),
                    GBD_OK);
  gbd_pool_begin_listing (pool);
  for (gbd_backend_id_t id = 1; id <= 5; id++)
    {
      gbd_pool_entry_t entry
          = make_entry (id, id == 5 ? "mail" : "web", id == 4 ? "b" : "a");
      put_entry (director, &entry, START);
    }
  gbd_pool_end_listing (pool, START);
  return director;
}

static inline gbd_packet_t
make_packet (gbd_packet_kind_t kind, uint16_t caller_port)
{
  gbd_packet_t packet = { .kind = kind,
                          .flow = { parse_address ("100.64.0.7:40001"),
                                    parse_address ("198.18.0.1:443") },
                          .sequence = 7000 };
  packet.flow.caller.port = caller_port;
  return packet;
}

/* Routes a packet and commits the decision. */
static inline gbd_director_decision_t
route_packet (gbd_director_t *director, const gbd_packet_t *packet,
              gbd_time_t now)
{
  gbd_director_decision_t decision;
  gbd_director_route (director, packet, now, &decision);
  gbd_director_commit (director, packet, &decision, now);
  return decision;
}

static inline gbd_backend_id_t
get_backend_id (gbd_director_t *director,
                const gbd_director_decision_t *decision)
{
  if (decision->server == GBD_POOL_NONE)
    return 0;
  return gbd_pool_get (gbd_director_get_pool (director), decision->server)
      ->entry.backend.id;
}

/* Establishes a flow whose backend server responds.
   @return the decision on the opening packet. */
static inline gbd_director_decision_t
open_flow (gbd_director_t *director, uint16_t caller_port, gbd_time_t now)
{
  gbd_packet_t packet = make_packet (GBD_PACKET_OPENING, caller_port);
  gbd_director_decision_t opening = route_packet (director, &packet, now);
  packet.kind = GBD_PACKET_ESTABLISHED;
  packet.sequence++;
  packet.acknowledgment = 90001;
  packet.cookie = opening.cookie;
  route_packet (director, &packet, now + 10 * GBD_MILLISECOND);
  return opening;
}

/* Builds the first data packet of a flow established by open_flow(). */
static inline gbd_packet_t
make_data (const gbd_director_decision_t *opening, uint16_t caller_port)
{
  gbd_packet_t packet = make_packet (GBD_PACKET_ESTABLISHED, caller_port);
  packet.cookie = opening->cookie;
  packet.sequence = 7001;
  packet.acknowledgment = 90001;
  packet.payload_length = 100;
  return packet;
}

/* Lets the service become short of room: every second response is as short as
   that of a full server.  Returns the time of the last response. */
static inline gbd_time_t
make_room_short (gbd_director_t *director, gbd_time_t now)
{
  for (uint16_t i = 0; i < 400; i++)
    {
      uint16_t port = (uint16_t)(5000 + i);
      now += 10 * GBD_MILLISECOND;
      gbd_director_decision_t opening = open_flow (director, port, now);
      gbd_packet_t packet = make_data (&opening, port);
      now += 10 * GBD_MILLISECOND;
      route_packet (director, &packet, now);
      packet.sequence += packet.payload_length;
      packet.payload_length = 0;
      packet.acknowledgment += i >= 200 && i % 2 == 0 ? 125 : 800;
      now += 10 * GBD_MILLISECOND;
      route_packet (director, &packet, now);
    }
  return now;
}

#endif
