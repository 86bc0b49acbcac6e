#include "standins/http.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <glib.h>

#include "share/udp.h"

#define READ_BYTES 65536

static int connect_to_server (const gbd_address_t *server, gint64 deadline);
static bool wait_for_events (int fd, short events, gint64 deadline);
static bool send_request (int fd, const GString *request, gint64 deadline);
static bool receive_response (int fd, GString *received, gint64 deadline);
static bool parse_content_length (const char *headers, size_t length,
                                  size_t *value);

int
http_call (const gbd_address_t *server, const char *method, const char *path,
           const char *body, int timeout_ms, char **response)
{
  gint64 deadline = g_get_monotonic_time () + timeout_ms * GBD_MILLISECOND;
  GString *request = g_string_new (NULL);
  GString *received = g_string_new (NULL);
  const char *response_body = NULL;
  size_t response_body_length = 0;
  int status = 0;

  g_string_printf (request,
                   "%s %s HTTP/1.1\r\nHost: platform\r\n"
                   "Connection: close\r\n",
                   method, path);
  if (body)
    g_string_append_printf (request,
                            "Content-Type: application/json\r\n"
                            "Content-Length: %zu\r\n",
                            strlen (body));
  g_string_append_printf (request, "\r\n%s", body ? body : "");

  int fd = connect_to_server (server, deadline);
  if (fd < 0 || !send_request (fd, request, deadline)
      || !receive_response (fd, received, deadline))
    goto out;
  status = http_parse_response (received->str, received->len, &response_body,
                                &response_body_length);
out:
  if (response)
    *response
        = status ? g_strndup (response_body, response_body_length) : NULL;
  if (fd >= 0)
    close (fd);
  g_string_free (request, TRUE);
  g_string_free (received, TRUE);
  return status;
}

int
http_parse_response (const char *bytes, size_t length, const char **body,
                     size_t *body_length)
{
  static const char version[] = "HTTP/1.1 ";
  const size_t status_end = sizeof version - 1 + 3;
  const char *end = g_strstr_len (bytes, (gssize)length, "\r\n\r\n");
  if (!end || length < status_end
      || memcmp (bytes, version, sizeof version - 1) != 0)
    return 0;
  int status = 0;
  for (size_t i = sizeof version - 1; i < status_end; i++)
    {
      if (!g_ascii_isdigit (bytes[i]))
        return 0;
      status = status * 10 + (bytes[i] - '0');
    }

  size_t header_length = (size_t)(end + 4 - bytes);
  size_t content_length;
  *body = bytes + header_length;
  if (!parse_content_length (bytes, header_length, &content_length)
      || content_length > length - header_length)
    return 0;
  *body_length = content_length;
  return status;
}

static bool
parse_content_length (const char *headers, size_t length, size_t *value)
{
  static const char name[] = "\r\ncontent-length:";
  for (size_t i = 0; i + sizeof name < length; i++)
    {
      if (strncasecmp (headers + i, name, sizeof name - 1) != 0)
        continue;
      char *end;
      guint64 number
          = g_ascii_strtoull (headers + i + sizeof name - 1, &end, 10);
      if (*end != '\r' || number > HTTP_RESPONSE_MAX)
        return false;
      *value = (size_t)number;
      return true;
    }
  return false;
}

static int
connect_to_server (const gbd_address_t *server, gint64 deadline)
{
  struct sockaddr_storage name;
  socklen_t length = gbd_udp_to_sockaddr (server, &name);
  int domain = server->family == 6 ? AF_INET6 : AF_INET;
  int fd = socket (domain, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (connect (fd, (const struct sockaddr *)&name, length) < 0)
    {
      int error = errno;
      socklen_t error_length = sizeof error;
      if (error != EINPROGRESS || !wait_for_events (fd, POLLOUT, deadline)
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &error_length) < 0
          || error != 0)
        {
          close (fd);
          return -1;
        }
    }
  return fd;
}

static bool
wait_for_events (int fd, short events, gint64 deadline)
{
  for (;;)
    {
      gint64 remaining = deadline - g_get_monotonic_time ();
      if (remaining <= 0)
        return false;
      struct pollfd ready = { fd, events, 0 };
      int count = poll (&ready, 1, (int)(remaining / GBD_MILLISECOND) + 1);
      if (count > 0)
        return true;
      if (count < 0 && errno != EINTR)
        return false;
    }
}

static bool
send_request (int fd, const GString *request, gint64 deadline)
{
  size_t sent = 0;
  while (sent < request->len)
    {
      ssize_t count
          = send (fd, request->str + sent, request->len - sent, MSG_NOSIGNAL);
      if (count > 0)
        sent += (size_t)count;
      else if (errno != EAGAIN || !wait_for_events (fd, POLLOUT, deadline))
        return false;
    }
  return true;
}

/* Receives until the response is complete or the server closes the
   connection. */
static bool
receive_response (int fd, GString *received, gint64 deadline)
{
  char *bytes = g_malloc (READ_BYTES);
  const char *body;
  size_t body_length;
  bool is_done = false;
  while (!is_done && received->len < HTTP_RESPONSE_MAX
         && wait_for_events (fd, POLLIN, deadline))
    {
      ssize_t count = recv (fd, bytes, READ_BYTES, 0);
      if (count > 0)
        g_string_append_len (received, bytes, count);
      is_done = count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)
                || http_parse_response (received->str, received->len, &body,
                                        &body_length);
    }
  g_free (bytes);
  return is_done;
}
