/* Stand-in for backend servers; runs the endpoints of one service.  The counts
   are printed on SIGUSR1 and when the program stops.  Control datagrams:
     shed UID on|off  start or stop resetting opening packets
     kill UID         close the socket of an endpoint
     cold UID MS      send no response to opening packets for MS ms */
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "share/log.h"
#include "share/udp.h"
#include "standins/endpoint.h"
#include "standins/object.h"

#define SOCKET_BUFFER (1 << 20)
#define PACKETS_PER_POLL 128
#define POLL_MS 100
#define CONTROL_MAX 256
#define COUNT_MAX 1000
#define DATAGRAM_MAX 9216

typedef struct
{
  char *service;
  char *ip;
  int port;
  int count;
  char *zones;
  char *uid_prefix;
  char *callers;
  char *platform;
  int control_port;
  int weight;
} options_t;

typedef struct
{
  options_t options;
  gbd_address_t callers;
  int count;
  endpoint_t **endpoints;
  struct pollfd *polled; /* sockets of the endpoints, then for control */
} backend_t;

static volatile sig_atomic_t is_stopping;
static volatile sig_atomic_t is_report_due;

static bool parse_options (options_t *options, int argc, char **argv);
static bool open_endpoints (backend_t *backend);
static bool open_socket (struct pollfd *polled, const char *ip, int port);
static bool register_all (const backend_t *backend);
static void run (backend_t *backend);
static void handle_packets (backend_t *backend, int index, gbd_time_t now);
static void receive_command (backend_t *backend, gbd_time_t now);
static void run_command (backend_t *backend, char **words, gbd_time_t now);
static int find_endpoint (const backend_t *backend, const char *uid);
static void report (const backend_t *backend);
static void close_backend (backend_t *backend);
static void stop (int signal_number);
static void request_report (int signal_number);

int
main (int argc, char **argv)
{
  backend_t backend = { 0 };
  int result = EXIT_FAILURE;
  gbd_log_set_program ("standin-backend");
  if (!parse_options (&backend.options, argc, argv)
      || !open_endpoints (&backend))
    goto out;

  signal (SIGTERM, stop);
  signal (SIGINT, stop);
  signal (SIGUSR1, request_report);
  if (backend.options.platform && !register_all (&backend))
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "backend",
               "cannot register the endpoints; check whether the platform "
               "is running");
      goto out;
    }
  gbd_log (GBD_EVENT_STANDIN_READY, "backend", backend.options.service);
  run (&backend);
  report (&backend);
  result = EXIT_SUCCESS;

out:
  close_backend (&backend);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  options->ip = g_strdup ("127.0.0.1");
  options->zones = g_strdup ("recife-a,recife-b,salvador-a,fortaleza-a");
  options->callers = g_strdup ("127.0.0.1:8601");
  options->port = 9000;
  options->count = 1;
  options->weight = 100;
  const GOptionEntry entries[] = {
    { "service", 0, 0, G_OPTION_ARG_STRING, &options->service,
      "service of all endpoints", "NAME" },
    { "ip", 0, 0, G_OPTION_ARG_STRING, &options->ip, "IP address to listen on",
      "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &options->port,
      "port of the first endpoint; the others follow", "PORT" },
    { "count", 0, 0, G_OPTION_ARG_INT, &options->count, "number of endpoints",
      "N" },
    { "zones", 0, 0, G_OPTION_ARG_STRING, &options->zones,
      "zones, assigned to the endpoints in turn", "A,B" },
    { "uid-prefix", 0, 0, G_OPTION_ARG_STRING, &options->uid_prefix,
      "uids are PREFIX-0 and so on; default is the service's name", "PREFIX" },
    { "callers", 0, 0, G_OPTION_ARG_STRING, &options->callers,
      "UDP address that responses are sent to", "IP:PORT" },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
      "address of the platform to register the endpoints at", "IP:PORT" },
    { "control", 0, 0, G_OPTION_ARG_INT, &options->control_port,
      "UDP port for control datagrams", "PORT" },
    { "weight", 0, 0, G_OPTION_ARG_INT, &options->weight,
      "weight of each endpoint", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context
      = g_option_context_new ("- stand-in for backend servers");
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, &argc, &argv, &error);
  const char *problem = error ? error->message : NULL;
  if (!problem && !options->service)
    problem = "specify --service";
  else if (!problem && (options->count < 1 || options->count > COUNT_MAX))
    problem = "specify a --count of 1 to 1000";
  if (problem)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "backend", problem);
  g_clear_error (&error);
  g_option_context_free (context);
  return is_parsed && !problem;
}

static bool
open_endpoints (backend_t *backend)
{
  const options_t *options = &backend->options;
  const char *prefix
      = options->uid_prefix ? options->uid_prefix : options->service;
  if (gbd_address_parse (options->callers, &backend->callers) != GBD_OK)
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "backend",
               "specify --callers as an IP address with a port");
      return false;
    }
  backend->count = options->count;
  backend->endpoints = g_new0 (endpoint_t *, options->count);
  backend->polled = g_new (struct pollfd, options->count + 1);
  for (int i = 0; i <= options->count; i++)
    backend->polled[i] = (struct pollfd){ -1, POLLIN, 0 };
  for (int i = 0; i < options->count; i++)
    {
      char *uid = g_strdup_printf ("%s-%d", prefix, i);
      backend->endpoints[i] = endpoint_new (options->service, uid);
      g_free (uid);
      if (!open_socket (&backend->polled[i], options->ip, options->port + i))
        return false;
    }
  if (options->control_port)
    return open_socket (&backend->polled[options->count], options->ip,
                        options->control_port);
  return true;
}

static bool
open_socket (struct pollfd *polled, const char *ip, int port)
{
  gbd_address_t address;
  char *text
      = g_strdup_printf (strchr (ip, ':') ? "[%s]:%d" : "%s:%d", ip, port);
  bool is_parsed = gbd_address_parse (text, &address) == GBD_OK;
  int fd = is_parsed ? gbd_udp_listen (&address, SOCKET_BUFFER) : -1;
  if (fd < 0)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "backend",
             "cannot bind the address; check whether it is in use");
  polled->fd = fd;
  g_free (text);
  return fd >= 0;
}

static bool
register_all (const backend_t *backend)
{
  gbd_address_t platform;
  if (gbd_address_parse (backend->options.platform, &platform) != GBD_OK)
    return false;
  char **zones = g_strsplit (backend->options.zones, ",", 0);
  guint zone_count = g_strv_length (zones);
  bool is_registered = zone_count > 0;
  for (int i = 0; i < backend->count && is_registered; i++)
    {
      gbd_address_t address;
      char text[GBD_ADDRESS_TEXT_MAX];
      gbd_udp_get_address (backend->polled[i].fd, &address);
      gbd_address_format (&address, text);
      json_t *value = json_pack ("{s:s, s:s, s:s, s:s, s:i}", "service",
                                 backend->options.service, "address", text,
                                 "zone", zones[(guint)i % zone_count], "state",
                                 "ready", "weight", backend->options.weight);
      is_registered
          = object_put (&platform, "endpoints",
                        endpoint_get_uid (backend->endpoints[i]), value);
      json_decref (value);
    }
  g_strfreev (zones);
  return is_registered;
}

static void
run (backend_t *backend)
{
  while (!is_stopping)
    {
      nfds_t count = (nfds_t)backend->count + 1;
      if (is_report_due)
        {
          is_report_due = 0;
          report (backend);
        }
      if (poll (backend->polled, count, POLL_MS) <= 0)
        continue;
      gbd_time_t now = g_get_monotonic_time ();
      for (int i = 0; i < backend->count; i++)
        {
          if (backend->polled[i].revents)
            handle_packets (backend, i, now);
        }
      if (backend->polled[backend->count].revents)
        receive_command (backend, now);
    }
}

static void
handle_packets (backend_t *backend, int index, gbd_time_t now)
{
  struct sockaddr_storage name;
  socklen_t name_length = gbd_udp_to_sockaddr (&backend->callers, &name);
  int fd = backend->polled[index].fd;
  for (int i = 0; i < PACKETS_PER_POLL; i++)
    {
      uint8_t bytes[DATAGRAM_MAX];
      uint8_t response[TCP_PACKET_LENGTH_MAX];
      ssize_t length = recv (fd, bytes, sizeof bytes, 0);
      if (length < 0)
        return;
      size_t response_length = endpoint_handle_packet (
          backend->endpoints[index], bytes, (size_t)length, now, response);
      if (response_length)
        sendto (fd, response, response_length, 0, (struct sockaddr *)&name,
                name_length);
    }
}

static void
receive_command (backend_t *backend, gbd_time_t now)
{
  char text[CONTROL_MAX + 1];
  ssize_t length
      = recv (backend->polled[backend->count].fd, text, CONTROL_MAX, 0);
  if (length <= 0)
    return;
  text[length] = '\0';
  char **words = g_strsplit (g_strstrip (text), " ", 0);
  if (g_strv_length (words) >= 2)
    run_command (backend, words, now);
  g_strfreev (words);
}

static void
run_command (backend_t *backend, char **words, gbd_time_t now)
{
  int index = find_endpoint (backend, words[1]);
  if (index < 0)
    return;
  endpoint_t *endpoint = backend->endpoints[index];
  if (strcmp (words[0], "kill") == 0 && backend->polled[index].fd >= 0)
    {
      close (backend->polled[index].fd);
      backend->polled[index].fd = -1;
    }
  else if (strcmp (words[0], "shed") == 0 && words[2])
    endpoint_set_shedding (endpoint, strcmp (words[2], "on") == 0);
  else if (strcmp (words[0], "cold") == 0 && words[2])
    endpoint_set_unresponsive_until (
        endpoint,
        now + g_ascii_strtoll (words[2], NULL, 10) * GBD_MILLISECOND);
}

static int
find_endpoint (const backend_t *backend, const char *uid)
{
  for (int i = 0; i < backend->count; i++)
    {
      if (strcmp (endpoint_get_uid (backend->endpoints[i]), uid) == 0)
        return i;
    }
  return -1;
}

static void
report (const backend_t *backend)
{
  json_t *list = json_array ();
  for (int i = 0; i < backend->count; i++)
    {
      const endpoint_counts_t *counts
          = endpoint_get_counts (backend->endpoints[i]);
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I}", "uid",
                           endpoint_get_uid (backend->endpoints[i]),
                           "connections", (json_int_t)counts->connections,
                           "served", (json_int_t)counts->served, "unknown",
                           (json_int_t)counts->unknown, "refused",
                           (json_int_t)counts->refused, "bytes",
                           (json_int_t)counts->bytes));
    }
  json_t *all = json_pack ("{s:s, s:o}", "service", backend->options.service,
                           "endpoints", list);
  json_dumpf (all, stdout, JSON_COMPACT);
  putchar ('\n');
  fflush (stdout);
  json_decref (all);
}

static void
close_backend (backend_t *backend)
{
  for (int i = 0; i < backend->count; i++)
    endpoint_delete (backend->endpoints[i]);
  for (int i = 0; backend->polled && i <= backend->count; i++)
    {
      if (backend->polled[i].fd >= 0)
        close (backend->polled[i].fd);
    }
  g_free (backend->endpoints);
  g_free (backend->polled);
  g_free (backend->options.service);
  g_free (backend->options.ip);
  g_free (backend->options.zones);
  g_free (backend->options.uid_prefix);
  g_free (backend->options.callers);
  g_free (backend->options.platform);
}

static void
stop (int signal_number)
{
  (void)signal_number;
  is_stopping = 1;
}

static void
request_report (int signal_number)
{
  (void)signal_number;
  is_report_due = 1;
}
