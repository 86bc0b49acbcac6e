/* Stand-in for the platform's object store; see platform_store.h. */
#include <signal.h>
#include <stdlib.h>

#include <glib.h>

#include "platform/standin/objects_form.h"
#include "share/log.h"
#include "standins/platform_server.h"

#define TICK_US (5 * LWS_US_PER_MS)
#define SERVICE_BUFFER_BYTES 65536

typedef struct
{
  char *listen;
  char *load;
  int writes_per_second;
  int reads_per_second;
  int page_items;
} options_t;

typedef struct
{
  lws_sorted_usec_list_t timer;
  struct lws_context *context;
  platform_server_t *server;
} ticker_t;

static volatile sig_atomic_t is_stopping;

static bool parse_options (options_t *options, int argc, char **argv);
static bool load_file (platform_store_t *store, const char *path);
static struct lws_context *make_context (void);
static void tick (lws_sorted_usec_list_t *timer);
static void stop (int signal_number);

int
main (int argc, char **argv)
{
  options_t options
      = { g_strdup ("127.0.0.1:8500"), NULL, 300, 2000, PLATFORM_PAGE_ITEMS };
  platform_store_t *store = NULL;
  ticker_t ticker = { 0 };
  gbd_address_t listen;
  int result = EXIT_FAILURE;

  gbd_log_set_program ("standin-platform");
  if (!parse_options (&options, argc, argv))
    goto out;
  if (gbd_address_parse (options.listen, &listen) != GBD_OK)
    {
      gbd_log (GBD_EVENT_BAD_SETTING, "--listen", options.listen,
               "specify an IP address with a port, such as 127.0.0.1:8500");
      goto out;
    }
  store = platform_store_new ((uint32_t)MAX (options.writes_per_second, 0),
                              (uint32_t)MAX (options.reads_per_second, 0),
                              g_get_monotonic_time ());
  if (options.load && !load_file (store, options.load))
    goto out;

  ticker.context = make_context ();
  if (ticker.context)
    ticker.server = platform_server_new (ticker.context, &listen, store,
                                         g_get_monotonic_time ());
  if (!ticker.server)
    {
      gbd_log (GBD_EVENT_STANDIN_FAILED, "platform",
               "cannot bind the address; check whether it is in use");
      goto out;
    }
  platform_server_add_api (ticker.server, &platform_server_api_objects,
                           (uint32_t)MAX (options.page_items, 1));
  signal (SIGTERM, stop);
  signal (SIGINT, stop);
  gbd_log (GBD_EVENT_STANDIN_READY, "platform", options.listen);
  tick (&ticker.timer);
  while (!is_stopping && lws_service (ticker.context, 0) >= 0)
    ;
  lws_sul_cancel (&ticker.timer);
  result = EXIT_SUCCESS;

out:
  if (ticker.context)
    lws_context_destroy (ticker.context);
  platform_server_delete (ticker.server);
  platform_store_delete (store);
  g_free (options.listen);
  g_free (options.load);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
      "address to listen on (127.0.0.1:8500)", "IP:PORT" },
    { "load", 0, 0, G_OPTION_ARG_FILENAME, &options->load,
      "initial objects, a JSON object of \"kind/name\": value", "FILE" },
    { "writes-per-second", 0, 0, G_OPTION_ARG_INT, &options->writes_per_second,
      "rate of writes before 429 (300; 0 for no limit)", "N" },
    { "reads-per-second", 0, 0, G_OPTION_ARG_INT, &options->reads_per_second,
      "rate of reads and watches before 429 (2000; 0 for no limit)", "N" },
    { "page-items", 0, 0, G_OPTION_ARG_INT, &options->page_items,
      "objects in one page under /objects/ (500)", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new ("");
  GError *error = NULL;
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_parsed = g_option_context_parse (context, &argc, &argv, &error);
  if (!is_parsed)
    {
      gbd_log (GBD_EVENT_BAD_SETTING, "flags", error->message,
               "--help lists them");
      g_error_free (error);
    }
  g_option_context_free (context);
  return is_parsed;
}

static bool
load_file (platform_store_t *store, const char *path)
{
  json_error_t error;
  json_t *objects = json_load_file (path, JSON_REJECT_DUPLICATES, &error);
  gbd_status_t status
      = objects ? platform_store_load (store, objects) : GBD_ERROR_FORMAT;
  json_decref (objects);
  if (status != GBD_OK)
    gbd_log (GBD_EVENT_BAD_SETTING, "--load", path,
             "specify a JSON object of \"kind/name\": value");
  return status == GBD_OK;
}

static struct lws_context *
make_context (void)
{
  struct lws_context_creation_info info = { 0 };
  lws_set_log_level (LLL_ERR, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.pt_serv_buf_size = SERVICE_BUFFER_BYTES;
  return lws_create_context (&info);
}

static void
tick (lws_sorted_usec_list_t *timer)
{
  ticker_t *ticker = lws_container_of (timer, ticker_t, timer);
  platform_server_tick (ticker->server, g_get_monotonic_time ());
  lws_sul_schedule (ticker->context, 0, timer, tick, TICK_US);
}

static void
stop (int signal_number)
{
  (void)signal_number;
  /* The next tick wakes the event loop. */
  is_stopping = 1;
}
