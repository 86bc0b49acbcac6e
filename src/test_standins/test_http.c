#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "share/udp.h"
#include "standins/http.h"

#define TIMEOUT_MS 10000
#define SHORT_TIMEOUT_MS 20

static void
only_complete_responses_are_parsed (void **state)
{
  (void)state;
  static const struct
  {
    const char *bytes;
    int status;
    const char *body;
  } rows[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 200, "{}" },
    { "HTTP/1.1 409 Conflict\r\nA: b\r\ncontent-length:1\r\n\r\n[", 409, "[" },
    { "HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n", 503, "" },
    { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n", 0, "" },
    { "HTTP/1.1 200 OK\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", 0, "" },
    { "HTTP/1.1 2x0 OK\r\ncontent-length: 2\r\n\r\n{}", 0, "" },
    { "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 \r\n\r\n", 0, "" },
    { "", 0, "" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const char *body = NULL;
      size_t length = 0;
      int status = http_parse_response (rows[i].bytes, strlen (rows[i].bytes),
                                        &body, &length);
      assert_int_equal (status, rows[i].status);
      if (status)
        {
          assert_int_equal (length, strlen (rows[i].body));
          assert_memory_equal (body, rows[i].body, length);
        }
    }
}

/** Server that accepts one connection. */
typedef struct
{
  int fd;
  gbd_address_t address;
  const char *response; /* sent in two parts */
  char request[1024];
} server_t;

static void
open_server (server_t *server)
{
  struct sockaddr_storage name;
  socklen_t length = sizeof name;
  gbd_address_t any = { .family = 4, .ip = { 127, 0, 0, 1 } };
  socklen_t any_length = gbd_udp_to_sockaddr (&any, &name);
  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_int_equal (bind (server->fd, (struct sockaddr *)&name, any_length),
                    0);
  assert_int_equal (listen (server->fd, 1), 0);
  getsockname (server->fd, (struct sockaddr *)&name, &length);
  gbd_udp_from_sockaddr (&name, &server->address);
}

static gpointer
serve_once (gpointer data)
{
  server_t *server = data;
  int fd = accept (server->fd, NULL, NULL);
  size_t used = 0;
  while (!strstr (server->request, "\r\n\r\n{\"a\":1}"))
    {
      ssize_t count = recv (fd, server->request + used,
                            sizeof server->request - 1 - used, 0);
      if (count <= 0)
        break;
      used += (size_t)count;
    }
  size_t half = strlen (server->response) / 2;
  send (fd, server->response, half, MSG_NOSIGNAL);
  send (fd, server->response + half, strlen (server->response) - half,
        MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

static void
calls_send_the_body_and_return_the_response (void **state)
{
  (void)state;
  server_t server
      = { .response = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n[12]" };
  char *response = NULL;
  open_server (&server);
  GThread *thread = g_thread_new ("server", serve_once, &server);
  int status = http_call (&server.address, "PUT", "/v1/x/y?version=3",
                          "{\"a\":1}", TIMEOUT_MS, &response);
  g_thread_join (thread);
  assert_int_equal (status, 200);
  assert_string_equal (response, "[12]");
  assert_non_null (strstr (server.request, "PUT /v1/x/y?version=3 HTTP/1.1"));
  assert_non_null (strstr (server.request, "Content-Length: 7\r\n"));
  g_free (response);
  close (server.fd);
}

static void
calls_without_a_response_time_out (void **state)
{
  (void)state;
  server_t server = { 0 };
  char *response = NULL;
  open_server (&server);
  /* The kernel accepts the connection, but no response is sent. */
  assert_int_equal (http_call (&server.address, "GET", "/", NULL,
                               SHORT_TIMEOUT_MS, &response),
                    0);
  assert_null (response);
  close (server.fd);
  assert_int_equal (
      http_call (&server.address, "GET", "/", NULL, TIMEOUT_MS, &response), 0);
  assert_null (response);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (only_complete_responses_are_parsed),
    cmocka_unit_test (calls_send_the_body_and_return_the_response),
    cmocka_unit_test (calls_without_a_response_time_out),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
