#include "prober.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"

/* If more time than this passes between two ticks, a time-out is not evidence
   against the backend server. */
#define TICK_INTERVAL_MAX (2 * GBD_SUSPICION_PROBE_TIMEOUT)

typedef struct
{
  int fd; /* -1: unused */
  gbd_pool_handle_t server;
  gbd_backend_id_t id; /* detects that the handle was reused for another
                          backend server */
  gbd_time_t began_at;
} probe_t;

struct gbd_prober
{
  gbd_pool_t *pool;
  gbd_probe_callback_t callback;
  void *data;
  gbd_time_t last_tick_at;
  probe_t probes[GBD_PROBER_CONCURRENCY_MAX];
  gbd_prober_stats_t stats;
};

static void finish_probe (gbd_prober_t *prober, probe_t *probe,
                          gbd_time_t now);
static gbd_probe_result_t check_probe (const gbd_prober_t *prober,
                                       const probe_t *probe, gbd_time_t now,
                                       bool *is_over);
static void record_result (gbd_prober_t *prober, const probe_t *probe,
                           gbd_probe_result_t result, gbd_time_t now);
static void start_due_probes (gbd_prober_t *prober, gbd_time_t now);
static void start_probe (gbd_prober_t *prober, probe_t *probe,
                         gbd_pool_handle_t handle, gbd_time_t now);
static probe_t *find_free_probe (gbd_prober_t *prober);

gbd_prober_t *
gbd_prober_new (gbd_pool_t *pool, gbd_probe_callback_t callback, void *data)
{
  gbd_prober_t *prober = calloc (1, sizeof *prober);
  if (!prober)
    return NULL;
  prober->pool = pool;
  prober->callback = callback;
  prober->data = data;
  for (int i = 0; i < GBD_PROBER_CONCURRENCY_MAX; i++)
    prober->probes[i].fd = -1;
  return prober;
}

void
gbd_prober_delete (gbd_prober_t *prober)
{
  if (!prober)
    return;
  for (int i = 0; i < GBD_PROBER_CONCURRENCY_MAX; i++)
    {
      if (prober->probes[i].fd >= 0)
        close (prober->probes[i].fd);
    }
  free (prober);
}

void
gbd_prober_tick (gbd_prober_t *prober, gbd_time_t now)
{
  for (int i = 0; i < GBD_PROBER_CONCURRENCY_MAX; i++)
    {
      if (prober->probes[i].fd >= 0)
        finish_probe (prober, &prober->probes[i], now);
    }
  start_due_probes (prober, now);
  prober->last_tick_at = now;
}

void
gbd_prober_get_stats (const gbd_prober_t *prober, gbd_prober_stats_t *stats)
{
  *stats = prober->stats;
}

/* Records the result of a probe if it has ended. */
static void
finish_probe (gbd_prober_t *prober, probe_t *probe, gbd_time_t now)
{
  bool is_over;
  gbd_probe_result_t result = check_probe (prober, probe, now, &is_over);
  if (!is_over)
    return;
  close (probe->fd);
  probe->fd = -1;
  record_result (prober, probe, result, now);
}

static void
record_result (gbd_prober_t *prober, const probe_t *probe,
               gbd_probe_result_t result, gbd_time_t now)
{
  prober->stats.results[result]++;
  gbd_pool_server_t *server = gbd_pool_get (prober->pool, probe->server);
  if (result == GBD_PROBE_NONE || !server->is_used
      || server->entry.backend.id != probe->id)
    return;
  bool has_changed = gbd_suspicion_record_probe (&server->load.suspicion,
                                                 result, probe->began_at, now);
  if (result != GBD_PROBE_ACCEPTED
      && server->load.suspicion.probed_at == probe->began_at)
    gbd_pool_record_unreachable (prober->pool, probe->server, probe->began_at);
  if (has_changed)
    prober->callback (prober->data, server, probe->began_at, now);
}

static gbd_probe_result_t
check_probe (const gbd_prober_t *prober, const probe_t *probe, gbd_time_t now,
             bool *is_over)
{
  struct pollfd polled = { .fd = probe->fd, .events = POLLOUT };
  *is_over = true;
  if (poll (&polled, 1, 0) > 0)
    {
      int error = 0;
      socklen_t length = sizeof error;
      getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &length);
      /* A connection that is reset after it was accepted shows a host that is
         up and busy. */
      if (error == 0 || error == ECONNRESET)
        return GBD_PROBE_ACCEPTED;
      return error == ECONNREFUSED ? GBD_PROBE_REFUSED : GBD_PROBE_NO_RESPONSE;
    }
  if (now - prober->last_tick_at > TICK_INTERVAL_MAX)
    return GBD_PROBE_NONE;
  *is_over = now - probe->began_at >= GBD_SUSPICION_PROBE_TIMEOUT;
  return GBD_PROBE_NO_RESPONSE;
}

static void
start_due_probes (gbd_prober_t *prober, gbd_time_t now)
{
  uint32_t capacity = gbd_pool_get_capacity (prober->pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_pool_server_t *server
          = gbd_pool_get (prober->pool, (gbd_pool_handle_t)i);
      /* Of a removed backend server, only its flows are of interest. */
      if (!server->is_used || (!server->is_listed && server->load.open == 0)
          || !gbd_suspicion_is_probe_due (&server->load.suspicion, now))
        continue;
      probe_t *probe = find_free_probe (prober);
      if (!probe)
        return;
      gbd_suspicion_begin_probe (&server->load.suspicion, now);
      start_probe (prober, probe, (gbd_pool_handle_t)i, now);
    }
}

static void
start_probe (gbd_prober_t *prober, probe_t *probe, gbd_pool_handle_t handle,
             gbd_time_t now)
{
  const gbd_backend_t *backend
      = &gbd_pool_peek (prober->pool, handle)->entry.backend;
  struct sockaddr_storage address;
  socklen_t length = gbd_udp_to_sockaddr (&backend->address, &address);
  int fd = socket (address.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  *probe = (probe_t){
    .fd = -1, .server = handle, .id = backend->id, .began_at = now
  };
  if (fd >= 0
      && (connect (fd, (const struct sockaddr *)&address, length) == 0
          || errno == EINPROGRESS))
    {
      probe->fd = fd;
      return;
    }
  bool is_refused = fd >= 0 && errno == ECONNREFUSED;
  if (fd >= 0)
    close (fd);
  record_result (prober, probe,
                 is_refused ? GBD_PROBE_REFUSED : GBD_PROBE_NONE, now);
}

static probe_t *
find_free_probe (gbd_prober_t *prober)
{
  for (int i = 0; i < GBD_PROBER_CONCURRENCY_MAX; i++)
    {
      if (prober->probes[i].fd < 0)
        return &prober->probes[i];
    }
  return NULL;
}
