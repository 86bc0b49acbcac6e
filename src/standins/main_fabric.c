/* Stand-in for the fabric: spreads the callers' packets over the instances of
   a group at random, with the loss, delay, duplication and reordering that
   the options specify. */
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <glib.h>

#include "share/log.h"
#include "share/udp.h"
#include "standins/delay_queue.h"
#include "standins/http.h"
#include "standins/tcp_packet.h"
#include "standins/instance_list.h"

#define LIST_REFRESH_INTERVAL (200 * GBD_MILLISECOND)
/* Time from a failed call to the platform to the next one. */
#define LIST_RETRY_INTERVAL GBD_SECOND
#define LIST_TIMEOUT_MS 50
/* Largest additional delay of a reordered packet. */
#define REORDER_DELAY_MAX (5 * GBD_MILLISECOND)
#define SOCKET_BUFFER (4 << 20)
#define PACKETS_PER_POLL 256
#define DATAGRAM_MAX 9216

typedef struct
{
  char *listen;
  char *platform;
  char *group;
  char **instances;
  double loss;
  double duplication;
  double reorder;
  int delay_ms;
  int lag_ms;
  int seed;
} options_t;

typedef struct
{
  options_t options;
  GRand *random;
  instance_list_t *list;
  delay_queue_t *delayed;
  gbd_address_t platform;     /* family 0 without the option --platform */
  gbd_time_t next_refresh_at; /* time of the next call to the platform */
  int callers_fd;
  int instances_fd;
  /* Source address of the newest packet from the callers; family 0 if none. */
  gbd_address_t callers;
  uint64_t received;
  uint64_t forwarded;
  uint64_t lost;
  uint64_t no_instance;
  uint64_t responses;
} fabric_t;

static volatile sig_atomic_t is_stopping;

static bool parse_options (options_t *options, int argc, char **argv);
static bool open_fabric (fabric_t *fabric);
static bool add_instances (fabric_t *fabric);
static void run (fabric_t *fabric);
static int get_wait_ms (const fabric_t *fabric, gbd_time_t now);
static void refresh_list (fabric_t *fabric, gbd_time_t now);
static void receive_from_callers (fabric_t *fabric, gbd_time_t now);
static void forward_packet (fabric_t *fabric, const uint8_t *bytes,
                            size_t length, gbd_time_t now);
static void send_due (fabric_t *fabric, gbd_time_t now);
static void forward_responses (fabric_t *fabric);
static void send_datagram (int fd, const gbd_address_t *to,
                           const uint8_t *bytes, size_t length);
static bool is_selected (fabric_t *fabric, double share);
static void stop (int signal_number);

int
main (int argc, char **argv)
{
  fabric_t fabric = { .callers_fd = -1, .instances_fd = -1 };
  int result = EXIT_FAILURE;
  gbd_log_set_program ("standin-fabric");
  if (!parse_options (&fabric.options, argc, argv) || !open_fabric (&fabric))
    goto out;

  signal (SIGTERM, stop);
  signal (SIGINT, stop);
  gbd_log (GBD_EVENT_STANDIN_READY, "fabric", fabric.options.listen);
  run (&fabric);
  printf ("{\"received\":%" G_GUINT64_FORMAT ",\"sprayed\":%" G_GUINT64_FORMAT
          ",\"lost\":%" G_GUINT64_FORMAT ",\"no_instance\":%" G_GUINT64_FORMAT
          ",\"answered\":%" G_GUINT64_FORMAT "}\n",
          fabric.received, fabric.forwarded, fabric.lost, fabric.no_instance,
          fabric.responses);
  result = EXIT_SUCCESS;

out:
  if (fabric.callers_fd >= 0)
    close (fabric.callers_fd);
  if (fabric.instances_fd >= 0)
    close (fabric.instances_fd);
  instance_list_delete (fabric.list);
  delay_queue_delete (fabric.delayed);
  if (fabric.random)
    g_rand_free (fabric.random);
  g_free (fabric.options.listen);
  g_free (fabric.options.platform);
  g_free (fabric.options.group);
  g_strfreev (fabric.options.instances);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  options->listen = g_strdup ("127.0.0.1:8600");
  options->group = g_strdup ("main");
  options->seed = 1;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
      "UDP address for the callers' packets", "IP:PORT" },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
      "address of the platform whose instance list is used", "IP:PORT" },
    { "group", 0, 0, G_OPTION_ARG_STRING, &options->group,
      "group of instances in that list", "NAME" },
    { "instance", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->instances,
      "instance in addition to the list; may be repeated", "IP:PORT" },
    { "loss", 0, 0, G_OPTION_ARG_DOUBLE, &options->loss,
      "share of packets lost", "0-1" },
    { "repeat", 0, 0, G_OPTION_ARG_DOUBLE, &options->duplication,
      "share of packets sent twice", "0-1" },
    { "reorder", 0, 0, G_OPTION_ARG_DOUBLE, &options->reorder,
      "share of packets delayed by up to 5 ms more", "0-1" },
    { "delay-ms", 0, 0, G_OPTION_ARG_INT, &options->delay_ms,
      "delay of every packet", "MS" },
    { "lag-ms", 0, 0, G_OPTION_ARG_INT, &options->lag_ms,
      "time for which an instance that left still gets packets", "MS" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
      "seed of the random numbers", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("- stand-in for the fabric");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, &argc, &argv, &error);
  if (!is_parsed)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "fabric", error->message);
  g_clear_error (&error);
  g_option_context_free (context);
  return is_parsed;
}

static bool
open_fabric (fabric_t *fabric)
{
  const options_t *options = &fabric->options;
  gbd_address_t listen;
  if (gbd_address_parse (options->listen, &listen) != GBD_OK
      || (options->platform
          && gbd_address_parse (options->platform, &fabric->platform)
                 != GBD_OK))
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "fabric",
               "specify addresses as IP addresses with ports");
      return false;
    }
  fabric->random = g_rand_new_with_seed ((guint32)options->seed);
  fabric->list
      = instance_list_new (options->group, options->lag_ms * GBD_MILLISECOND);
  fabric->delayed = delay_queue_new ();
  fabric->callers_fd = gbd_udp_listen (&listen, SOCKET_BUFFER);
  fabric->instances_fd = gbd_udp_open (4, SOCKET_BUFFER);
  if (fabric->callers_fd < 0 || fabric->instances_fd < 0)
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "fabric",
               "cannot bind the address; check whether it is in use");
      return false;
    }
  return add_instances (fabric);
}

static bool
add_instances (fabric_t *fabric)
{
  char **instances = fabric->options.instances;
  for (size_t i = 0; instances && instances[i]; i++)
    {
      gbd_address_t address;
      if (gbd_address_parse (instances[i], &address) != GBD_OK)
        {
          gbd_log (GBD_EVENT_STANDIN_FAILED, "fabric",
                   "specify --instance as an IP address with a port");
          return false;
        }
      instance_list_add_static (fabric->list, &address);
    }
  return true;
}

static void
run (fabric_t *fabric)
{
  while (!is_stopping)
    {
      struct pollfd ready[] = { { fabric->callers_fd, POLLIN, 0 },
                                { fabric->instances_fd, POLLIN, 0 } };
      gbd_time_t now = g_get_monotonic_time ();
      if (poll (ready, 2, get_wait_ms (fabric, now)) < 0)
        continue;
      now = g_get_monotonic_time ();
      if (fabric->platform.family && now >= fabric->next_refresh_at)
        refresh_list (fabric, now);
      if (ready[0].revents)
        receive_from_callers (fabric, now);
      if (ready[1].revents)
        forward_responses (fabric);
      send_due (fabric, g_get_monotonic_time ());
    }
}

static int
get_wait_ms (const fabric_t *fabric, gbd_time_t now)
{
  gbd_time_t next = now + LIST_REFRESH_INTERVAL;
  if (fabric->platform.family)
    next = MIN (next, fabric->next_refresh_at);
  next = MIN (next, delay_queue_get_next_due (fabric->delayed));
  if (next <= now)
    return 0;
  return (int)((next - now + GBD_MILLISECOND - 1) / GBD_MILLISECOND);
}

static void
refresh_list (fabric_t *fabric, gbd_time_t now)
{
  char *text = NULL;
  int status = http_call (&fabric->platform, "GET", "/v1/instances", NULL,
                          LIST_TIMEOUT_MS, &text);
  json_t *response = status == 200 ? json_loads (text, 0, NULL) : NULL;
  bool is_read = instance_list_update (fabric->list, response, now);
  fabric->next_refresh_at = g_get_monotonic_time ();
  fabric->next_refresh_at
      += is_read ? LIST_REFRESH_INTERVAL : LIST_RETRY_INTERVAL;
  json_decref (response);
  g_free (text);
}

static void
receive_from_callers (fabric_t *fabric, gbd_time_t now)
{
  for (int i = 0; i < PACKETS_PER_POLL; i++)
    {
      uint8_t bytes[DATAGRAM_MAX];
      struct sockaddr_storage from;
      socklen_t from_length = sizeof from;
      ssize_t length = recvfrom (fabric->callers_fd, bytes, sizeof bytes, 0,
                                 (struct sockaddr *)&from, &from_length);
      if (length < 0)
        return;
      gbd_udp_from_sockaddr (&from, &fabric->callers);
      fabric->received++;
      forward_packet (fabric, bytes, (size_t)length, now);
      if (is_selected (fabric, fabric->options.duplication))
        forward_packet (fabric, bytes, (size_t)length, now);
    }
}

static void
forward_packet (fabric_t *fabric, const uint8_t *bytes, size_t length,
                gbd_time_t now)
{
  uint32_t count = instance_list_count (fabric->list, now);
  if (!count)
    {
      fabric->no_instance++;
      return;
    }
  if (is_selected (fabric, fabric->options.loss))
    {
      fabric->lost++;
      return;
    }
  fabric->forwarded++;
  uint32_t index
      = (uint32_t)g_rand_int_range (fabric->random, 0, (gint32)count);
  const gbd_address_t *to = instance_list_get (fabric->list, index);
  gbd_time_t delay = fabric->options.delay_ms * GBD_MILLISECOND;
  if (is_selected (fabric, fabric->options.reorder))
    delay += g_rand_int_range (fabric->random, 1, REORDER_DELAY_MAX);
  if (delay)
    delay_queue_add (fabric->delayed, now + delay, to, bytes, length);
  else
    send_datagram (fabric->instances_fd, to, bytes, length);
}

static void
send_due (fabric_t *fabric, gbd_time_t now)
{
  delayed_datagram_t *delayed;
  while ((delayed = delay_queue_take (fabric->delayed, now)))
    {
      send_datagram (fabric->instances_fd, &delayed->to, delayed->bytes,
                     delayed->length);
      g_free (delayed);
    }
}

static void
forward_responses (fabric_t *fabric)
{
  for (int i = 0; i < PACKETS_PER_POLL; i++)
    {
      uint8_t bytes[DATAGRAM_MAX];
      ssize_t length = recv (fabric->instances_fd, bytes, sizeof bytes, 0);
      if (length < 0)
        return;
      fabric->responses++;
      if (fabric->callers.family)
        send_datagram (fabric->callers_fd, &fabric->callers, bytes,
                       (size_t)length);
    }
}

static void
send_datagram (int fd, const gbd_address_t *to, const uint8_t *bytes,
               size_t length)
{
  struct sockaddr_storage name;
  socklen_t name_length = gbd_udp_to_sockaddr (to, &name);
  /* A packet that the socket refuses is lost, as on a real network. */
  sendto (fd, bytes, length, 0, (const struct sockaddr *)&name, name_length);
}

static bool
is_selected (fabric_t *fabric, double share)
{
  return share > 0 && g_rand_double (fabric->random) < share;
}

static void
stop (int signal_number)
{
  (void)signal_number;
  is_stopping = 1;
}
