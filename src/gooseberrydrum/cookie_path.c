#define _GNU_SOURCE /* NOLINT: the C library's name, for recvmmsg */
#include "cookie_path.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"

#define BATCH 32      /* datagrams of one receive call */
#define BATCHES_MAX 8 /* of one call, so that other work gets its turn */
#define PACKET_MAX 1504

/** A datagram that waits for the end of the batch. */
typedef struct
{
  struct iovec parts[2]; /* prefix, packet */
  struct sockaddr_storage name;
  uint8_t prefix[GBD_PREFIX_LENGTH_MAX];
} outgoing_datagram_t;

struct gbd_cookie_datapath
{
  gbd_cookie_datapath_settings_t settings;
  gbd_director_t *director;
  int fd;
  gbd_cookie_datapath_stats_t stats;
  unsigned out_count;
  struct mmsghdr out[BATCH];
  outgoing_datagram_t outgoing[BATCH];
  struct mmsghdr in[BATCH];
  struct iovec in_parts[BATCH];
  uint8_t resets[BATCH][GBD_RESET_LENGTH_MAX];
  uint8_t packets[BATCH][PACKET_MAX];
};

static unsigned receive_batch (gbd_cookie_datapath_t *path);
static void process_packet (gbd_cookie_datapath_t *path, unsigned index,
                            gbd_time_t now);
static bool is_isolated (const gbd_cookie_datapath_t *path,
                         const gbd_packet_t *packet,
                         const gbd_director_decision_t *decision);
static void queue_to_backend (gbd_cookie_datapath_t *path, unsigned index,
                              size_t length,
                              const gbd_director_decision_t *decision);
static void queue_reset (gbd_cookie_datapath_t *path, unsigned index,
                         const gbd_packet_t *packet);
static outgoing_datagram_t *append_datagram (gbd_cookie_datapath_t *path,
                                             const gbd_address_t *to,
                                             unsigned part_count);
static void send_batch (gbd_cookie_datapath_t *path);

gbd_cookie_datapath_t *
gbd_cookie_datapath_new (const gbd_cookie_datapath_settings_t *settings,
                         gbd_director_t *director, const char **error)
{
  gbd_cookie_datapath_t *path = calloc (1, sizeof *path);
  if (!path)
    {
      *error = "out of memory; raise the memory limit";
      return NULL;
    }
  path->settings = *settings;
  path->director = director;
  path->fd = gbd_udp_listen (&settings->listen, settings->socket_buffer);
  if (path->fd >= 0)
    return path;
  *error = "cannot bind the fabric's UDP address; use an address of this host "
           "and a port that no other process has";
  free (path);
  return NULL;
}

void
gbd_cookie_datapath_delete (gbd_cookie_datapath_t *path)
{
  if (!path)
    return;
  close (path->fd);
  free (path);
}

int
gbd_cookie_datapath_get_fd (const gbd_cookie_datapath_t *path)
{
  return path->fd;
}

uint32_t
gbd_cookie_datapath_receive (gbd_cookie_datapath_t *path)
{
  uint32_t received = 0;
  for (int batch = 0; batch < BATCHES_MAX; batch++)
    {
      unsigned count = receive_batch (path);
      /* A process paused before this line decides by the time after it. */
      gbd_time_t now = path->settings.clock (path->settings.data);
      for (unsigned i = 0; i < count; i++)
        process_packet (path, i, now);
      send_batch (path);
      received += count;
      if (count < BATCH)
        break;
    }
  return received;
}

void
gbd_cookie_datapath_get_stats (const gbd_cookie_datapath_t *path,
                               gbd_cookie_datapath_stats_t *stats)
{
  *stats = path->stats;
}

static unsigned
receive_batch (gbd_cookie_datapath_t *path)
{
  for (unsigned i = 0; i < BATCH; i++)
    {
      path->in_parts[i].iov_base = path->packets[i];
      path->in_parts[i].iov_len = PACKET_MAX;
      path->in[i].msg_hdr.msg_iov = &path->in_parts[i];
      path->in[i].msg_hdr.msg_iovlen = 1;
    }
  int count = recvmmsg (path->fd, path->in, BATCH, MSG_DONTWAIT, NULL);
  return count < 0 ? 0 : (unsigned)count;
}

static void
process_packet (gbd_cookie_datapath_t *path, unsigned index, gbd_time_t now)
{
  const gbd_packet_codec_t *codec = path->settings.codec;
  const struct mmsghdr *message = &path->in[index];
  gbd_packet_t packet;
  path->stats.packets++;
  path->stats.bytes += message->msg_len;
  path->stats.newest_packet_at = now;
  gbd_drop_t drop
      = message->msg_hdr.msg_flags & MSG_TRUNC
            ? GBD_DROP_TRUNCATED
            : codec->parse (path->packets[index], message->msg_len, &packet);
  if (drop != GBD_DROP_NONE)
    {
      path->stats.drops[drop]++;
      return;
    }

  gbd_director_decision_t decision;
  gbd_director_route (path->director, &packet, now, &decision);
  if (decision.kind == GBD_ACTION_BACKEND
      && !is_isolated (path, &packet, &decision))
    {
      decision.kind = GBD_ACTION_DROP;
      decision.drop = GBD_DROP_ISOLATION;
    }
  gbd_flow_observation_t observation
      = gbd_director_commit (path->director, &packet, &decision, now);
  if (decision.kind == GBD_ACTION_BACKEND)
    queue_to_backend (path, index, message->msg_len, &decision);
  else if (decision.kind == GBD_ACTION_RESET)
    queue_reset (path, index, &packet);
  else
    path->stats.drops[decision.drop]++;
  path->settings.observe (path->settings.data, &packet, &decision,
                          &observation, now);
}

/* Looks an opening packet up anew by its own address: whatever went wrong on
   the way to the decision, it reaches only its own service. */
static bool
is_isolated (const gbd_cookie_datapath_t *path, const gbd_packet_t *packet,
             const gbd_director_decision_t *decision)
{
  if (packet->kind != GBD_PACKET_OPENING)
    return true;
  const gbd_routes_t *routes = gbd_director_get_routes (path->director);
  const gbd_route_t *route
      = routes ? gbd_routes_find (routes, &packet->flow.service) : NULL;
  const gbd_pool_server_t *server = gbd_pool_peek (
      gbd_director_peek_pool (path->director), decision->server);
  for (uint32_t i = 0; route && i < route->target_count; i++)
    {
      if (route->targets[i].service == server->entry.service)
        return true;
    }
  return false;
}

static void
queue_to_backend (gbd_cookie_datapath_t *path, unsigned index, size_t length,
                  const gbd_director_decision_t *decision)
{
  const gbd_packet_codec_t *codec = path->settings.codec;
  const gbd_backend_t *backend
      = &gbd_pool_peek (gbd_director_peek_pool (path->director),
                        decision->server)
             ->entry.backend;
  codec->set_cookie (path->packets[index], decision->cookie);
  outgoing_datagram_t *outgoing = append_datagram (path, &backend->address, 2);
  codec->write_prefix (backend->id, outgoing->prefix);
  outgoing->parts[0].iov_base = outgoing->prefix;
  outgoing->parts[0].iov_len = codec->prefix_length;
  outgoing->parts[1].iov_base = path->packets[index];
  outgoing->parts[1].iov_len = length;
  path->stats.to_backend_packets++;
  path->stats.to_backend_bytes += length;
}

static void
queue_reset (gbd_cookie_datapath_t *path, unsigned index,
             const gbd_packet_t *packet)
{
  gbd_address_t caller = packet->flow.caller;
  caller.port = path->settings.listen.port;
  outgoing_datagram_t *outgoing = append_datagram (path, &caller, 1);
  outgoing->parts[0].iov_base = path->resets[index];
  outgoing->parts[0].iov_len
      = path->settings.codec->build_reset (packet, path->resets[index]);
  path->stats.resets++;
}

static outgoing_datagram_t *
append_datagram (gbd_cookie_datapath_t *path, const gbd_address_t *to,
                 unsigned part_count)
{
  outgoing_datagram_t *outgoing = &path->outgoing[path->out_count];
  struct msghdr *header = &path->out[path->out_count].msg_hdr;
  path->out_count++;
  header->msg_name = &outgoing->name;
  header->msg_namelen = gbd_udp_to_sockaddr (to, &outgoing->name);
  header->msg_iov = outgoing->parts;
  header->msg_iovlen = part_count;
  return outgoing;
}

/* What the socket does not take is dropped; its sender repeats it. */
static void
send_batch (gbd_cookie_datapath_t *path)
{
  unsigned sent = 0;
  while (sent < path->out_count)
    {
      int count = sendmmsg (path->fd, path->out + sent, path->out_count - sent,
                            MSG_DONTWAIT);
      if (count <= 0)
        {
          path->stats.drops[GBD_DROP_SEND]++;
          count = 1;
        }
      sent += (unsigned)count;
    }
  path->out_count = 0;
}
