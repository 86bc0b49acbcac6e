/* Stand-in for the callers: opens flows through the fabric and checks every
   response.  Prints the results as one line of JSON. */
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "share/log.h"
#include "share/udp.h"
#include "standins/callers.h"
#include "standins/tcp_packet.h"

#define SOCKET_BUFFER (4 << 20)
#define PACKETS_PER_POLL 256
#define POLL_MS 5
#define DATAGRAM_MAX 9216

typedef struct
{
  char *listen;
  char *fabric;
  char **services;
  char **excluded;
  char **endpoints;
  int flows;
  double rate;
  int requests;
  int request_bytes;
  int lifetime_ms;
  double long_share;
  int seed;
} options_t;

typedef struct
{
  int fd;
  struct sockaddr_storage fabric;
  socklen_t fabric_length;
} fabric_socket_t;

static volatile sig_atomic_t is_stopping;

static bool parse_options (options_t *options, int argc, char **argv);
static const char *check_options (const options_t *options);
static bool read_services (const options_t *options,
                           callers_settings_t *settings,
                           flow_checker_t *checker);
static uint32_t count_endpoints (const options_t *options, const char *name);
static bool open_fabric_socket (const options_t *options,
                                fabric_socket_t *fabric_socket);
static void send_packet (void *data, const uint8_t *bytes, size_t length);
static void run (callers_t *callers, int fd);
static bool print_results (const flow_checker_t *checker,
                           const callers_t *callers, const options_t *options,
                           double seconds);
static void free_options (options_t *options);
static void stop (int signal_number);

int
main (int argc, char **argv)
{
  options_t options = { 0 };
  callers_settings_t settings = { 0 };
  fabric_socket_t fabric_socket = { .fd = -1 };
  callers_t *callers = NULL;
  flow_checker_t *checker = flow_checker_new ();
  int result = EXIT_FAILURE;

  gbd_log_set_program ("standin-callers");
  if (!parse_options (&options, argc, argv)
      || !read_services (&options, &settings, checker)
      || !open_fabric_socket (&options, &fabric_socket))
    goto out;
  settings.flows = (uint32_t)options.flows;
  settings.rate = options.rate;
  settings.requests = (uint32_t)options.requests;
  settings.request_length = (uint32_t)options.request_bytes;
  settings.lifetime = options.lifetime_ms * GBD_MILLISECOND;
  settings.long_share = options.long_share;
  settings.seed = (uint32_t)options.seed;
  settings.send = send_packet;
  settings.data = &fabric_socket;

  signal (SIGTERM, stop);
  signal (SIGINT, stop);
  gbd_time_t started = g_get_monotonic_time ();
  callers = callers_new (&settings, checker, started);
  run (callers, fabric_socket.fd);
  gbd_time_t elapsed = g_get_monotonic_time () - started;
  if (print_results (checker, callers, &options,
                     (double)elapsed / (double)GBD_SECOND))
    result = EXIT_SUCCESS;

out:
  if (fabric_socket.fd >= 0)
    close (fabric_socket.fd);
  callers_delete (callers);
  flow_checker_delete (checker);
  free_options (&options);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  options->listen = g_strdup ("127.0.0.1:8601");
  options->fabric = g_strdup ("127.0.0.1:8600");
  options->flows = 1000;
  options->rate = 1000;
  options->requests = 5;
  options->request_bytes = 64;
  options->lifetime_ms = 3000;
  options->long_share = 0.1;
  options->seed = 1;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
      "UDP address that responses are received at", "IP:PORT" },
    { "fabric", 0, 0, G_OPTION_ARG_STRING, &options->fabric,
      "UDP address of the fabric", "IP:PORT" },
    { "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->services,
      "service and its share of the flows; may be repeated",
      "NAME=IP:PORT:SHARE" },
    { "endpoints", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->endpoints,
      "endpoints ready for the entire run; may be repeated", "NAME=N" },
    { "exclude", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->excluded,
      "endpoint left out of the imbalance; may be repeated", "UID" },
    { "flows", 0, 0, G_OPTION_ARG_INT, &options->flows,
      "total number of flows", "N" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &options->rate,
      "new flows per second", "N" },
    { "packets", 0, 0, G_OPTION_ARG_INT, &options->requests,
      "requests per flow", "N" },
    { "request-bytes", 0, 0, G_OPTION_ARG_INT, &options->request_bytes,
      "length of a request in bytes", "N" },
    { "life-ms", 0, 0, G_OPTION_ARG_INT, &options->lifetime_ms,
      "lifetime of a short flow", "MS" },
    { "long-share", 0, 0, G_OPTION_ARG_DOUBLE, &options->long_share,
      "share of flows that stay open to the end", "0-1" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
      "seed of the random numbers", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context
      = g_option_context_new ("- stand-in for the callers");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_parse (context, &argc, &argv, &error);
  const char *problem = error ? error->message : check_options (options);
  if (problem)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "callers", problem);
  bool is_valid = !problem;
  g_clear_error (&error);
  g_option_context_free (context);
  return is_valid;
}

static const char *
check_options (const options_t *options)
{
  if (!options->services)
    return "specify at least one --service";
  if (options->flows < 1 || (uint32_t)options->flows > CALLERS_FLOWS_MAX)
    return "specify --flows of 1 to 10000000";
  if (!(options->rate > 0) || options->requests < 1
      || options->lifetime_ms < 1)
    return "specify --rate, --packets and --life-ms above 0";
  if (options->request_bytes < EXCHANGE_REQUEST_MIN
      || options->request_bytes > FLOW_CHECKER_REQUEST_MAX)
    return "specify --request-bytes of 12 to 1400";
  return NULL;
}

static bool
read_services (const options_t *options, callers_settings_t *settings,
               flow_checker_t *checker)
{
  for (size_t i = 0; options->services[i]; i++)
    {
      callers_service_t *service = &settings->services[i];
      char **parts = g_strsplit (options->services[i], "=", 2);
      char *colon = parts[0] && parts[1] ? strrchr (parts[1], ':') : NULL;
      bool is_read = colon && i < CALLERS_SERVICES_MAX;
      if (is_read)
        {
          *colon = '\0';
          service->share = g_ascii_strtod (colon + 1, NULL);
          is_read
              = service->share > 0
                && gbd_address_parse (parts[1], &service->address) == GBD_OK;
        }
      if (is_read)
        service->checker_service = flow_checker_add_service (
            checker, parts[0], count_endpoints (options, parts[0]));
      else
        gbd_log (GBD_EVENT_STANDIN_FAILED, "callers",
                 "specify --service as NAME=IP:PORT:SHARE");
      g_strfreev (parts);
      if (!is_read)
        return false;
      settings->service_count++;
    }
  for (size_t i = 0; options->excluded && options->excluded[i]; i++)
    flow_checker_exclude_endpoint (checker, options->excluded[i]);
  return true;
}

static uint32_t
count_endpoints (const options_t *options, const char *name)
{
  size_t length = strlen (name);
  for (size_t i = 0; options->endpoints && options->endpoints[i]; i++)
    {
      const char *text = options->endpoints[i];
      if (strncmp (text, name, length) == 0 && text[length] == '=')
        return (uint32_t)g_ascii_strtoull (text + length + 1, NULL, 10);
    }
  return 0;
}

static bool
open_fabric_socket (const options_t *options, fabric_socket_t *fabric_socket)
{
  gbd_address_t listen;
  gbd_address_t fabric;
  if (gbd_address_parse (options->listen, &listen) == GBD_OK
      && gbd_address_parse (options->fabric, &fabric) == GBD_OK)
    {
      fabric_socket->fd = gbd_udp_listen (&listen, SOCKET_BUFFER);
      fabric_socket->fabric_length
          = gbd_udp_to_sockaddr (&fabric, &fabric_socket->fabric);
    }
  if (fabric_socket->fd < 0)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "callers",
             "cannot bind the address; check whether it is in use");
  return fabric_socket->fd >= 0;
}

static void
send_packet (void *data, const uint8_t *bytes, size_t length)
{
  const fabric_socket_t *fabric_socket = data;
  /* A packet that the socket refuses is retransmitted like a lost packet. */
  sendto (fabric_socket->fd, bytes, length, 0,
          (const struct sockaddr *)&fabric_socket->fabric,
          fabric_socket->fabric_length);
}

static void
run (callers_t *callers, int fd)
{
  while (!is_stopping && !callers_is_done (callers))
    {
      struct pollfd ready = { fd, POLLIN, 0 };
      int count = poll (&ready, 1, POLL_MS);
      gbd_time_t now = g_get_monotonic_time ();
      for (int i = 0; count > 0 && i < PACKETS_PER_POLL; i++)
        {
          uint8_t bytes[DATAGRAM_MAX];
          ssize_t length = recv (fd, bytes, sizeof bytes, 0);
          if (length < 0)
            break;
          callers_receive (callers, bytes, (size_t)length, now);
        }
      callers_tick (callers, now);
    }
}

static bool
print_results (const flow_checker_t *checker, const callers_t *callers,
               const options_t *options, double seconds)
{
  json_t *report
      = flow_checker_report (checker, (uint32_t)options->flows, seconds);
  json_dumpf (report, stdout, JSON_COMPACT | JSON_REAL_PRECISION (4));
  putchar ('\n');
  json_decref (report);
  if (flow_checker_get_unopened (checker))
    gbd_log (GBD_EVENT_STANDIN_FAILED, "callers",
             "some flows got no response to their opening packets");
  if (!callers_is_done (callers))
    gbd_log (GBD_EVENT_STANDIN_FAILED, "callers",
             "stopped before all flows had ended");
  return flow_checker_has_passed (checker) && callers_is_done (callers);
}

static void
free_options (options_t *options)
{
  g_free (options->listen);
  g_free (options->fabric);
  g_strfreev (options->services);
  g_strfreev (options->excluded);
  g_strfreev (options->endpoints);
}

static void
stop (int signal_number)
{
  (void)signal_number;
  is_stopping = 1;
}
