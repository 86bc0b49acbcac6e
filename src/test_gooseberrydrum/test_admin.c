#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <openssl/ssl.h>

#include "free_address.h"
#include "gooseberrydrum/admin.h"
#include "tls_identities.h"

#define ROUNDS_MAX 20000
#define RESPONSE_LENGTH_MAX (1 << 16)
#define TOKEN "0123456789abcdef"
#define LARGE_LENGTH (8 << 20) /* more than socket buffers hold */

static struct lws_context *context;
static gbd_admin_t *admin;
static gbd_address_t listen_address;
static gbd_admin_settings_t settings;
static char explained_flow[2 * GBD_ADDRESS_TEXT_MAX];
static bool is_dump_large;
static bool is_ready;

static char *
get_counters (void *data)
{
  return strdup (data);
}

static json_t *
get_status (void *data)
{
  return json_pack ("{s:s}", "status", data);
}

static json_t *
get_dump (void *data)
{
  if (!is_dump_large)
    return json_pack ("{s:s}", "dump", data);
  char *text = calloc (1, LARGE_LENGTH + 1);
  assert_non_null (text);
  memset (text, 'x', LARGE_LENGTH);
  json_t *dump = json_pack ("{s:s}", "dump", text);
  free (text);
  return dump;
}

static json_t *
get_explanation (void *data, const gbd_flow_t *flow)
{
  char service[GBD_ADDRESS_TEXT_MAX];
  (void)data;
  gbd_address_format (&flow->caller, explained_flow);
  gbd_address_format (&flow->service, service);
  strcat (strcat (explained_flow, " "), service);
  return flow->service.port == 443 ? json_pack ("{s:s}", "rule", "bucket")
                                   : NULL;
}

static bool
get_ready (void *data)
{
  (void)data;
  return is_ready;
}

static const gbd_admin_callbacks_t callbacks
    = { get_counters, get_status, get_dump, get_explanation, get_ready };

static void
start (const char *token)
{
  struct lws_context_creation_info info
      = { .port = CONTEXT_PORT_NO_LISTEN,
          .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS
                     | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT };
  const char *error = NULL;
  lws_set_log_level (0, NULL);
  listen_address = choose_free_address ();
  settings.listen = listen_address;
  settings.token = token;
  context = lws_create_context (&info);
  assert_non_null (context);
  admin = gbd_admin_new (context, &settings, &callbacks, "some", &error);
  assert_non_null (admin);
}

static int
set_up (void **state)
{
  (void)state;
  is_dump_large = false;
  start (NULL);
  return 0;
}

static int
set_up_public (void **state)
{
  (void)state;
  settings.is_public = true;
  start (NULL);
  return 0;
}

static int
set_up_with_token (void **state)
{
  (void)state;
  start (TOKEN);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  settings.is_public = false;
  gbd_admin_delete (admin);
  lws_context_destroy (context);
  return 0;
}

static int
connect_socket (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_port = htons (listen_address.port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

static void
send_request (int fd, const char *method, const char *target,
              const char *header)
{
  char request[1024];
  int length = snprintf (request, sizeof request,
                         "%s %s HTTP/1.1\r\nHost: a\r\n%s"
                         "Connection: close\r\n\r\n",
                         method, target, header);
  assert_int_equal (send (fd, request, (size_t)length, MSG_NOSIGNAL), length);
}

/* Reads until the server closes the connection; fails after ROUNDS_MAX
   rounds. */
static size_t
read_response (int fd, char *response, size_t size)
{
  size_t used = 0;
  size_t total = 0;
  char bytes[4096];
  for (int i = 0; i < ROUNDS_MAX; i++)
    {
      lws_service (context, -1);
      ssize_t count = recv (fd, bytes, sizeof bytes, 0);
      if (count == 0 || (count < 0 && errno != EAGAIN))
        {
          response[used] = '\0';
          return total;
        }
      if (count < 0)
        {
          usleep (i > 100 ? 200 : 0);
          continue;
        }
      size_t capacity = size - 1 - used;
      size_t kept = (size_t)count < capacity ? (size_t)count : capacity;
      memcpy (response + used, bytes, kept);
      used += kept;
      total += (size_t)count;
    }
  fail_msg ("the response did not end");
  return 0;
}

typedef struct
{
  const char *method;
  const char *target;
  const char *header;
  const char *status;
  const char *content; /* substring of the response */
} request_case_t;

static void
check_cases (const request_case_t *cases, size_t count)
{
  static char response[RESPONSE_LENGTH_MAX];
  for (size_t i = 0; i < count; i++)
    {
      int fd = connect_socket ();
      send_request (fd, cases[i].method, cases[i].target, cases[i].header);
      read_response (fd, response, sizeof response);
      close (fd);
      bool is_as_expected = strstr (response, cases[i].status) == response
                            && strstr (response, cases[i].content);
      if (!is_as_expected)
        print_error ("%s %s (%s): \"%s\"\n", cases[i].method, cases[i].target,
                     cases[i].header, response);
      assert_true (is_as_expected);
    }
}

static void
paths_return_their_responses (void **state)
{
  (void)state;
  static const request_case_t cases[] = {
    { "GET", "/counters", "", "HTTP/1.1 200", "\r\n\r\nsome" },
    { "GET", "/status", "", "HTTP/1.1 200", "\"status\": \"some\"" },
    { "GET", "/dump", "", "HTTP/1.1 200", "\"dump\": \"some\"" },
    { "GET", "/dump", "", "HTTP/1.1 200", "no-store" },
    { "GET", "/", "", "HTTP/1.1 404", "use /counters" },
    { "GET", "/dumps", "", "HTTP/1.1 404", "use /counters" },
    { "POST", "/status", "Content-Length: 0\r\n", "HTTP/1.1 405", "use GET" },
    { "PUT", "/status", "Content-Length: 0\r\n", "HTTP/1.1 405", "use GET" },
    { "DELETE", "/status", "", "HTTP/1.1 405", "use GET" },
    { "GET", "/explain?flow=10.0.0.1:1234-10.1.0.1:443", "", "HTTP/1.1 200",
      "\"rule\": \"bucket\"" },
    { "GET", "/explain?flow=10.0.0.1:1234-10.1.0.1:80", "", "HTTP/1.1 404",
      "customers get" },
    { "GET", "/explain", "", "HTTP/1.1 400", "CALLER-SERVICE" },
    { "GET", "/explain?flow=", "", "HTTP/1.1 400", "CALLER-SERVICE" },
    { "GET", "/explain?flow=10.0.0.1:1234", "", "HTTP/1.1 400", "CALLER" },
    { "GET", "/explain?flow=10.0.0.1:1234-[::1]:443", "", "HTTP/1.1 400",
      "CALLER" },
    { "GET", "/explain?flow=10.0.0.1:0-10.1.0.1:443", "", "HTTP/1.1 400",
      "CALLER" },
    { "GET", "/explain?flow=%5B2001:db8::1%5D:9-%5B2001:db8::2%5D:443", "",
      "HTTP/1.1 200", "rule" },
  };
  check_cases (cases, sizeof cases / sizeof cases[0]);
  assert_string_equal (explained_flow, "[2001:db8::1]:9 [2001:db8::2]:443");
}

static void
complete_token_is_required (void **state)
{
  (void)state;
  static const request_case_t cases[] = {
    { "GET", "/status", "Authorization: Bearer " TOKEN "\r\n", "HTTP/1.1 200",
      "some" },
    { "GET", "/status", "", "HTTP/1.1 401", "Bearer TOKEN" },
    { "GET", "/none", "", "HTTP/1.1 401", "Bearer TOKEN" },
    { "GET", "/status", "Authorization: Bearer\r\n", "HTTP/1.1 401", "Bear" },
    { "GET", "/status", "Authorization: " TOKEN "\r\n", "HTTP/1.1 401",
      "Bear" },
    { "GET", "/status", "Authorization: Bearer 0123456789abcde\r\n",
      "HTTP/1.1 401", "Bearer" },
    { "GET", "/status", "Authorization: Bearer " TOKEN "0\r\n", "HTTP/1.1 401",
      "Bearer" },
    { "GET", "/status", "Authorization: Basic " TOKEN "\r\n", "HTTP/1.1 401",
      "Bearer" },
  };
  check_cases (cases, sizeof cases / sizeof cases[0]);
}

static void
token_is_required_unless_on_loopback (void **state)
{
  (void)state;
  gbd_admin_settings_t exposed_settings = { 0 };
  const char *error = NULL;
  assert_int_equal (
      gbd_address_parse ("0.0.0.0:7480", &exposed_settings.listen), GBD_OK);
  assert_null (
      gbd_admin_new (context, &exposed_settings, &callbacks, NULL, &error));
  assert_non_null (strstr (error, "set an admin token"));
}

static void
large_response_is_complete (void **state)
{
  (void)state;
  static char response[RESPONSE_LENGTH_MAX];
  is_dump_large = true;
  int fd = connect_socket ();
  send_request (fd, "GET", "/dump", "");
  assert_true (read_response (fd, response, sizeof response) > LARGE_LENGTH);
  close (fd);
}

/* Clients that do not read use at most GBD_ADMIN_RESPONSES_MAX responses, and
   free them when they disconnect. */
static void
slow_readers_are_limited (void **state)
{
  (void)state;
  static char response[RESPONSE_LENGTH_MAX];
  int slow[GBD_ADMIN_RESPONSES_MAX];
  is_dump_large = true;
  for (int i = 0; i < GBD_ADMIN_RESPONSES_MAX; i++)
    {
      slow[i] = connect_socket ();
      send_request (slow[i], "GET", "/dump", "");
      for (int j = 0; j < 50; j++)
        lws_service (context, -1);
    }
  int fd = connect_socket ();
  send_request (fd, "GET", "/status", "");
  read_response (fd, response, sizeof response);
  assert_ptr_equal (strstr (response, "HTTP/1.1 503"), response);
  close (fd);

  for (int i = 0; i < GBD_ADMIN_RESPONSES_MAX; i++)
    close (slow[i]);
  for (int i = 0; i < 200; i++)
    lws_service (context, -1);
  fd = connect_socket ();
  send_request (fd, "GET", "/status", "");
  read_response (fd, response, sizeof response);
  assert_ptr_equal (strstr (response, "HTTP/1.1 200"), response);
  close (fd);
}

static void
malformed_requests_are_closed (void **state)
{
  (void)state;
  static char long_request[20000];
  static char response[RESPONSE_LENGTH_MAX];
  memset (long_request, 'a', sizeof long_request - 1);
  memcpy (long_request, "GET /", 5);
  static const char *const requests[]
      = { "\r\n\r\n", "\x16\x03\x01\x02\x00\x01\r\n\r\n", "GET\r\n\r\n",
          "GET /\xff\xff HTTP/1.0\r\n\r\n", long_request };
  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    {
      int fd = connect_socket ();
      size_t length = strlen (requests[i]);
      assert_true (send (fd, requests[i], length, MSG_NOSIGNAL) > 0);
      shutdown (fd, SHUT_WR);
      read_response (fd, response, sizeof response);
      assert_null (strstr (response, "some"));
      close (fd);
    }
}

/* Sends one request over TLS and checks the server's certificate.
   @return the HTTP status, or 0 without a response */
static int
request_over_tls (EVP_PKEY *expected_key)
{
  SSL_CTX *client = SSL_CTX_new (TLS_client_method ());
  SSL *ssl = SSL_new (client);
  int fd = connect_socket ();
  SSL_set_fd (ssl, fd);
  SSL_set_connect_state (ssl);
  static const char request[] = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n";
  char response[256] = "";
  bool is_sent = false;
  int status = 0;
  for (int i = 0; i < ROUNDS_MAX && status == 0; i++)
    {
      lws_service (context, -1);
      if (!is_sent)
        is_sent = SSL_write (ssl, request, sizeof request - 1) > 0;
      else if (SSL_read (ssl, response, sizeof response - 1) > 0)
        sscanf (response, "HTTP/1.1 %d", &status);
      usleep (i > 100 ? 200 : 0);
    }
  X509 *certificate = SSL_get0_peer_certificate (ssl);
  assert_non_null (certificate);
  assert_int_equal (EVP_PKEY_eq (X509_get0_pubkey (certificate), expected_key),
                    1);
  SSL_free (ssl);
  SSL_CTX_free (client);
  close (fd);
  return status;
}

static void
write_identity (const identity_t *identity)
{
  write_certificate (settings.certificate, identity->certificate);
  write_key (settings.key, identity->key);
}

static void
tls_certificate_is_reloaded (void **state)
{
  (void)state;
  static char response[RESPONSE_LENGTH_MAX];
  char directory[] = "/tmp/gooseberrydrum-admin-XXXXXX";
  char certificate[64];
  char key[64];
  identity_t first;
  identity_t second;
  assert_non_null (mkdtemp (directory));
  snprintf (certificate, sizeof certificate, "%s/crt", directory);
  snprintf (key, sizeof key, "%s/key", directory);
  settings.certificate = certificate;
  settings.key = key;
  make_identity (&first, "first", NULL);
  make_identity (&second, "second", NULL);
  write_identity (&first);
  start (NULL);
  assert_int_equal (request_over_tls (first.key), 200);
  int fd = connect_socket ();
  send_request (fd, "GET", "/status", "");
  read_response (fd, response, sizeof response);
  assert_null (strstr (response, "some"));
  close (fd);

  /* A key that does not match the certificate changes nothing. */
  write_key (key, second.key);
  assert_int_equal (gbd_admin_reload (admin), GBD_ERROR_FORMAT);
  assert_int_equal (request_over_tls (first.key), 200);
  write_identity (&second);
  assert_int_equal (gbd_admin_reload (admin), GBD_OK);
  assert_int_equal (request_over_tls (second.key), 200);

  /* The server does not start without TLS if the files are invalid. */
  gbd_admin_settings_t invalid_settings = settings;
  const char *error = NULL;
  listen_address = choose_free_address ();
  invalid_settings.listen = listen_address;
  write_key (key, first.key);
  assert_null (
      gbd_admin_new (context, &invalid_settings, &callbacks, NULL, &error));
  assert_non_null (strstr (error, "certificate"));

  unlink (certificate);
  unlink (key);
  rmdir (directory);
  free_identity (&first);
  free_identity (&second);
  settings.certificate = NULL;
  settings.key = NULL;
}

static void
public_server_has_only_readiness_and_metrics (void **state)
{
  (void)state;
  static const request_case_t ready_cases[] = {
    { "GET", "/ready", "", "HTTP/1.1 200", "true" },
    { "GET", "/metrics", "", "HTTP/1.1 200", "some" },
    { "GET", "/dump", "", "HTTP/1.1 404", "remedy" },
    { "GET", "/status", "", "HTTP/1.1 404", "remedy" },
    { "GET", "/explain?flow=10.0.0.1:1-10.1.0.1:443", "", "HTTP/1.1 404",
      "remedy" },
    { "PUT", "/ready", "Content-Length: 0\r\n", "HTTP/1.1 405", "remedy" },
  };
  static const request_case_t not_ready_cases[]
      = { { "GET", "/ready", "", "HTTP/1.1 503", "remedy" },
          { "GET", "/metrics", "", "HTTP/1.1 200", "some" } };
  is_ready = true;
  check_cases (ready_cases, sizeof ready_cases / sizeof ready_cases[0]);
  is_ready = false;
  check_cases (not_ready_cases,
               sizeof not_ready_cases / sizeof not_ready_cases[0]);
}

int
main (void)
{
#define ADMIN_TEST(test)                                                      \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)
  const struct CMUnitTest tests[] = {
    ADMIN_TEST (paths_return_their_responses),
    cmocka_unit_test_setup_teardown (
        public_server_has_only_readiness_and_metrics, set_up_public,
        tear_down),
    cmocka_unit_test_setup_teardown (complete_token_is_required,
                                     set_up_with_token, tear_down),
    ADMIN_TEST (token_is_required_unless_on_loopback),
    ADMIN_TEST (large_response_is_complete),
    ADMIN_TEST (slow_readers_are_limited),
    ADMIN_TEST (malformed_requests_are_closed),
    cmocka_unit_test_teardown (tls_certificate_is_reloaded, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
