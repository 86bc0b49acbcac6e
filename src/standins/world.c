#include "standins/world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define DELAY_MIN (1 * GBD_MILLISECOND)
#define DELAY_SPREAD_US 4000

const char *const world_violation_strings[WORLD_VIOLATION_COUNT]
    = { "wrong_service",        "changed_packet", "living_flow_reset",
        "opening_reset",        "ran_twice",      "new_work_at_draining",
        "older_routes",         "not_recovered",  "planned_loss",
        "opening_at_evacuated", "cold_budget" };

void
world_poll (world_t *world, int fd, uint32_t index,
            world_poll_handler_t handler)
{
  if (fd < 0 || world->polled_count == WORLD_POLLED_MAX)
    return;
  uint32_t position = world->polled_count++;
  world->polled[position] = (struct pollfd){ .fd = fd, .events = POLLIN };
  world->handlers[position] = handler;
  world->indexes[position] = index;
}

void
world_report_violation (world_t *world, world_violation_t violation,
                        gbd_time_t now, const char *format, ...)
{
  char text[256];
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  world->violations[violation]++;
  fprintf (stderr, "%.3f %s: %s\n",
           (double)(now - world->started_at) / GBD_SECOND,
           world_violation_strings[violation], text);
}

gbd_address_t
world_address (uint32_t network, uint32_t host, uint16_t port)
{
  gbd_address_t address = { .family = 4, .port = port };
  address.ip[0] = 127;
  address.ip[2] = (uint8_t)network;
  address.ip[3] = (uint8_t)(host + 1);
  return address;
}

double
world_draw_random (world_t *world)
{
  return g_rand_double (world->random);
}

void
world_send (world_t *world, const gbd_address_t *to, const uint8_t *bytes,
            size_t length, gbd_time_t now)
{
  if (now < world->loss_until && world_draw_random (world) < world->loss)
    return;
  gbd_time_t delay
      = DELAY_MIN + g_rand_int_range (world->random, 0, DELAY_SPREAD_US);
  delay_queue_add (world->delayed, now + delay, to, bytes, length);
}
