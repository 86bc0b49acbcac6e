#define _GNU_SOURCE /* NOLINT: reserved name, needed for recvmmsg */
#include "cookie_datapath.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"

#define BATCH 32 /* datagrams per system call */
/* Batches per receive call; the limit lets the event loop do other work. */
#define BATCHES_MAX 8
#define PACKET_MAX 1504

/** A datagram to be sent at the end of the batch. */
typedef struct
{
  struct iovec parts[2]; /* prefix and packet */
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

static unsigned receive_batch (gbd_cookie_datapath_t *datapath);
static void process_packet (gbd_cookie_datapath_t *datapath, unsigned index,
                            gbd_time_t now);
static bool is_isolated (const gbd_cookie_datapath_t *datapath,
                         const gbd_packet_t *packet,
                         const gbd_director_decision_t *decision);
static void queue_to_backend (gbd_cookie_datapath_t *datapath, unsigned index,
                              size_t length,
                              const gbd_director_decision_t *decision);
static void queue_reset (gbd_cookie_datapath_t *datapath, unsigned index,
                         const gbd_packet_t *packet);
static outgoing_datagram_t *append_datagram (gbd_cookie_datapath_t *datapath,
                                             const gbd_address_t *to,
                                             unsigned part_count);
static void send_batch (gbd_cookie_datapath_t *datapath);

gbd_cookie_datapath_t *
gbd_cookie_datapath_new (const gbd_cookie_datapath_settings_t *settings,
                         gbd_director_t *director, const char **error)
{
  gbd_cookie_datapath_t *datapath = calloc (1, sizeof *datapath);
  if (!datapath)
    {
      *error = "out of memory; raise the memory limit";
      return NULL;
    }
  datapath->settings = *settings;
  datapath->director = director;
  datapath->fd = gbd_udp_listen (&settings->listen, settings->socket_buffer);
  if (datapath->fd >= 0)
    return datapath;
  *error = "cannot bind the UDP address of the fabric; use an address of this "
           "host and a free port";
  free (datapath);
  return NULL;
}

void
gbd_cookie_datapath_delete (gbd_cookie_datapath_t *datapath)
{
  if (!datapath)
    return;
  close (datapath->fd);
  free (datapath);
}

int
gbd_cookie_datapath_get_fd (const gbd_cookie_datapath_t *datapath)
{
  return datapath->fd;
}

uint32_t
gbd_cookie_datapath_receive (gbd_cookie_datapath_t *datapath)
{
  uint32_t received = 0;
  for (int batch = 0; batch < BATCHES_MAX; batch++)
    {
      unsigned count = receive_batch (datapath);
      /* The clock is read after the datagrams, so that the decisions after a
         pause of the process use the current time. */
      gbd_time_t now = datapath->settings.clock (datapath->settings.data);
      for (unsigned i = 0; i < count; i++)
        process_packet (datapath, i, now);
      send_batch (datapath);
      if (gbd_director_has_sent_to_cold (datapath->director))
        gbd_director_record_transmission (
            datapath->director,
            datapath->settings.clock (datapath->settings.data));
      received += count;
      if (count < BATCH)
        break;
    }
  return received;
}

void
gbd_cookie_datapath_get_stats (const gbd_cookie_datapath_t *datapath,
                               gbd_cookie_datapath_stats_t *stats)
{
  *stats = datapath->stats;
}

static unsigned
receive_batch (gbd_cookie_datapath_t *datapath)
{
  for (unsigned i = 0; i < BATCH; i++)
    {
      datapath->in_parts[i].iov_base = datapath->packets[i];
      datapath->in_parts[i].iov_len = PACKET_MAX;
      datapath->in[i].msg_hdr.msg_iov = &datapath->in_parts[i];
      datapath->in[i].msg_hdr.msg_iovlen = 1;
    }
  int count = recvmmsg (datapath->fd, datapath->in, BATCH, MSG_DONTWAIT, NULL);
  return count < 0 ? 0 : (unsigned)count;
}

static void
process_packet (gbd_cookie_datapath_t *datapath, unsigned index,
                gbd_time_t now)
{
  const gbd_packet_codec_t *codec = datapath->settings.codec;
  const struct mmsghdr *message = &datapath->in[index];
  gbd_packet_t packet;
  datapath->stats.packets++;
  datapath->stats.bytes += message->msg_len;
  datapath->stats.last_packet_at = now;
  gbd_drop_t drop = message->msg_hdr.msg_flags & MSG_TRUNC
                        ? GBD_DROP_TRUNCATED
                        : codec->parse (datapath->packets[index],
                                        message->msg_len, &packet);
  if (drop != GBD_DROP_NONE)
    {
      datapath->stats.drops[drop]++;
      return;
    }

  gbd_director_decision_t decision;
  gbd_director_route (datapath->director, &packet, now, &decision);
  if (decision.kind == GBD_ACTION_BACKEND
      && !is_isolated (datapath, &packet, &decision))
    {
      decision.kind = GBD_ACTION_DROP;
      decision.drop = GBD_DROP_ISOLATION;
    }
  gbd_flow_observation_t observation
      = gbd_director_commit (datapath->director, &packet, &decision, now);
  if (decision.kind == GBD_ACTION_BACKEND)
    queue_to_backend (datapath, index, message->msg_len, &decision);
  else if (decision.kind == GBD_ACTION_RESET)
    queue_reset (datapath, index, &packet);
  else
    datapath->stats.drops[decision.drop]++;
  datapath->settings.observe (datapath->settings.data, &packet, &decision,
                              &observation, now);
}

/* Checks, independently of how the decision was made, that an opening packet
   goes to a backend server of the service at the packet's destination address,
   so that a fault in routing cannot send it to another customer. */
static bool
is_isolated (const gbd_cookie_datapath_t *datapath, const gbd_packet_t *packet,
             const gbd_director_decision_t *decision)
{
  if (packet->kind != GBD_PACKET_OPENING)
    return true;
  const gbd_routes_t *routes = gbd_director_get_routes (datapath->director);
  const gbd_route_t *route
      = routes ? gbd_routes_find (routes, &packet->flow.service) : NULL;
  const gbd_pool_server_t *server = gbd_pool_peek (
      gbd_director_peek_pool (datapath->director), decision->server);
  for (uint32_t i = 0; route && i < route->target_count; i++)
    {
      if (route->targets[i].service == server->entry.service)
        return true;
    }
  return false;
}

static void
queue_to_backend (gbd_cookie_datapath_t *datapath, unsigned index,
                  size_t length, const gbd_director_decision_t *decision)
{
  const gbd_packet_codec_t *codec = datapath->settings.codec;
  const gbd_backend_t *backend
      = &gbd_pool_peek (gbd_director_peek_pool (datapath->director),
                        decision->server)
             ->entry.backend;
  codec->set_cookie (datapath->packets[index], decision->cookie);
  outgoing_datagram_t *outgoing
      = append_datagram (datapath, &backend->address, 2);
  codec->write_prefix (backend->id, outgoing->prefix);
  outgoing->parts[0].iov_base = outgoing->prefix;
  outgoing->parts[0].iov_len = codec->prefix_length;
  outgoing->parts[1].iov_base = datapath->packets[index];
  outgoing->parts[1].iov_len = length;
  datapath->stats.to_backend_packets++;
  datapath->stats.to_backend_bytes += length;
}

static void
queue_reset (gbd_cookie_datapath_t *datapath, unsigned index,
             const gbd_packet_t *packet)
{
  gbd_address_t caller = packet->flow.caller;
  caller.port = datapath->settings.listen.port;
  outgoing_datagram_t *outgoing = append_datagram (datapath, &caller, 1);
  outgoing->parts[0].iov_base = datapath->resets[index];
  outgoing->parts[0].iov_len = datapath->settings.codec->build_reset (
      packet, datapath->resets[index]);
  datapath->stats.resets++;
}

static outgoing_datagram_t *
append_datagram (gbd_cookie_datapath_t *datapath, const gbd_address_t *to,
                 unsigned part_count)
{
  outgoing_datagram_t *outgoing = &datapath->outgoing[datapath->out_count];
  struct msghdr *header = &datapath->out[datapath->out_count].msg_hdr;
  datapath->out_count++;
  header->msg_name = &outgoing->name;
  header->msg_namelen = gbd_udp_to_sockaddr (to, &outgoing->name);
  header->msg_iov = outgoing->parts;
  header->msg_iovlen = part_count;
  return outgoing;
}

/* A datagram that the socket rejects is dropped; its sender retransmits it. */
static void
send_batch (gbd_cookie_datapath_t *datapath)
{
  unsigned sent = 0;
  while (sent < datapath->out_count)
    {
      int count = sendmmsg (datapath->fd, datapath->out + sent,
                            datapath->out_count - sent, MSG_DONTWAIT);
      if (count <= 0)
        {
          datapath->stats.drops[GBD_DROP_SEND]++;
          count = 1;
        }
      sent += (unsigned)count;
    }
  datapath->out_count = 0;
}
