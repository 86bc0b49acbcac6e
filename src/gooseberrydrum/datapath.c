#define _GNU_SOURCE /* NOLINT: reserved name, needed for recvmmsg */
#include "datapath.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"

#define BATCH GBD_PREFETCH_MAX /* datagrams of one recvmmsg call */
/* Limit of batches in one call of gbd_datapath_receive(); returning to the
   event loop after them keeps timers and the other socket from starving. */
#define BATCHES_MAX 8
#define PACKET_MAX 9216 /* bytes, a jumbo frame */
#define PEERS_MAX 64

/** Bytes of a receive buffer: headroom for the shim header, so that a packet
 *  is forwarded to another instance without a copy, and the packet.  The
 *  padding makes it an odd number of cache lines, which spreads the packet
 *  headers over all cache sets. */
#define BUFFER_LENGTH (GBD_SHIM_LENGTH + PACKET_MAX + 32)

/** Datagrams to send on one socket at the end of the batch. */
typedef struct
{
  int fd;
  unsigned count;
  struct mmsghdr messages[BATCH];
  struct iovec iovecs[BATCH];
  struct sockaddr_storage addresses[BATCH];
} datagram_queue_t;

typedef enum
{
  QUEUE_BACKEND_IPV4,
  QUEUE_BACKEND_IPV6,
  QUEUE_PEER,
  QUEUE_FABRIC
} queue_kind_t;
#define QUEUE_COUNT 4

typedef struct
{
  struct sockaddr_storage address;
  socklen_t length; /* 0 if the address is not set */
} destination_t;

struct gbd_datapath
{
  gbd_datapath_settings_t settings;
  gbd_engine_t *engine;
  int fabric_fd;
  int peer_fd;
  destination_t fabric; /* last sender's address at the fabric's socket */
  uint32_t peer_count;
  gbd_instance_id_t peer_ids[PEERS_MAX];
  destination_t peers[PEERS_MAX];
  gbd_datapath_stats_t stats;
  datagram_queue_t queues[QUEUE_COUNT];
  struct mmsghdr messages[BATCH];
  struct iovec iovecs[BATCH];
  struct sockaddr_storage addresses[BATCH];
  unsigned packet_count; /* valid packets in the batch */
  gbd_packet_t packets[BATCH];
  uint8_t indexes[BATCH]; /* datagram index of each packet */
  gbd_shim_t shims[BATCH];
  uint8_t resets[BATCH][GBD_RESET_LENGTH_MAX];
  uint8_t buffers[BATCH][BUFFER_LENGTH];
};

/** One received datagram. */
typedef struct
{
  unsigned index;
  uint8_t *bytes; /* the packet, with headroom for a shim header before it */
  size_t length;
  const gbd_shim_t *shim; /* NULL for packets from the fabric */
} datagram_t;

static bool open_sockets (gbd_datapath_t *datapath, const char **error);
static unsigned receive_batch (gbd_datapath_t *datapath, bool is_fabric);
static void parse_fabric_datagram (gbd_datapath_t *datapath, unsigned index,
                                   gbd_time_t now);
static void parse_peer_datagram (gbd_datapath_t *datapath, unsigned index);
static void parse_packet (gbd_datapath_t *datapath, unsigned index,
                          const uint8_t *bytes, size_t length);
static void route_packet (gbd_datapath_t *datapath, const gbd_packet_t *packet,
                          unsigned index, bool is_fabric, gbd_time_t now);
static void execute_decision (gbd_datapath_t *datapath,
                              const datagram_t *datagram,
                              const gbd_packet_t *packet,
                              const gbd_decision_t *decision, gbd_time_t now);
static bool is_backend_of_service (const gbd_datapath_t *datapath,
                                   const gbd_packet_t *packet,
                                   const gbd_decision_t *decision);
static void queue_to_backend (gbd_datapath_t *datapath,
                              const datagram_t *datagram,
                              const gbd_address_t *backend);
static void queue_to_peer (gbd_datapath_t *datapath,
                           const datagram_t *datagram,
                           const destination_t *peer, const gbd_shim_t *shim);
static void queue_reset (gbd_datapath_t *datapath, const datagram_t *datagram,
                         const gbd_packet_t *packet);
static void queue_add (datagram_queue_t *queue, uint8_t *bytes, size_t length,
                       const destination_t *to);
static void flush (gbd_datapath_t *datapath, datagram_queue_t *queue);
static const destination_t *find_peer (const gbd_datapath_t *datapath,
                                       gbd_instance_id_t id);
static void count_drop (gbd_datapath_t *datapath, gbd_drop_t drop);

gbd_datapath_t *
gbd_datapath_new (const gbd_datapath_settings_t *settings,
                  gbd_engine_t *engine, const char **error)
{
  gbd_datapath_t *datapath = calloc (1, sizeof *datapath);
  if (!datapath)
    {
      *error = "out of memory; raise the memory limit";
      return NULL;
    }
  datapath->settings = *settings;
  datapath->engine = engine;
  datapath->fabric_fd = -1;
  datapath->peer_fd = -1;
  for (int i = 0; i < QUEUE_COUNT; i++)
    datapath->queues[i].fd = -1;
  if (!open_sockets (datapath, error))
    {
      gbd_datapath_delete (datapath);
      return NULL;
    }
  return datapath;
}

void
gbd_datapath_delete (gbd_datapath_t *datapath)
{
  if (!datapath)
    return;
  if (datapath->fabric_fd >= 0)
    close (datapath->fabric_fd);
  if (datapath->peer_fd >= 0)
    close (datapath->peer_fd);
  if (datapath->queues[QUEUE_BACKEND_IPV4].fd >= 0)
    close (datapath->queues[QUEUE_BACKEND_IPV4].fd);
  if (datapath->queues[QUEUE_BACKEND_IPV6].fd >= 0)
    close (datapath->queues[QUEUE_BACKEND_IPV6].fd);
  free (datapath);
}

int
gbd_datapath_get_fabric_fd (const gbd_datapath_t *datapath)
{
  return datapath->fabric_fd;
}

int
gbd_datapath_get_peer_fd (const gbd_datapath_t *datapath)
{
  return datapath->peer_fd;
}

gbd_status_t
gbd_datapath_set_peer (gbd_datapath_t *datapath, gbd_instance_id_t id,
                       const gbd_address_t *address)
{
  uint32_t index = 0;
  while (index < datapath->peer_count && datapath->peer_ids[index] != id)
    index++;
  if (index == PEERS_MAX)
    return GBD_ERROR_MEMORY;
  if (index == datapath->peer_count)
    datapath->peer_count++;
  datapath->peer_ids[index] = id;
  datapath->peers[index].length
      = gbd_udp_to_sockaddr (address, &datapath->peers[index].address);
  return GBD_OK;
}

void
gbd_datapath_remove_peer (gbd_datapath_t *datapath, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < datapath->peer_count; i++)
    {
      if (datapath->peer_ids[i] != id)
        continue;
      uint32_t last = --datapath->peer_count;
      datapath->peer_ids[i] = datapath->peer_ids[last];
      datapath->peers[i] = datapath->peers[last];
      return;
    }
}

uint32_t
gbd_datapath_receive (gbd_datapath_t *datapath, int fd)
{
  bool is_fabric = fd == datapath->fabric_fd;
  uint32_t handled = 0;
  assert (is_fabric || fd == datapath->peer_fd);
  for (int batch = 0; batch < BATCHES_MAX; batch++)
    {
      unsigned count = receive_batch (datapath, is_fabric);
      /* Read after receiving: if the process was suspended before this line,
         the decisions use the time after the suspension. */
      gbd_time_t now
          = datapath->settings.clock (datapath->settings.clock_data);
      datapath->packet_count = 0;
      /* All packets are parsed before the first decision, so that the engine
         can prefetch the memory for all of them in parallel. */
      for (unsigned i = 0; i < count; i++)
        {
          if (is_fabric)
            parse_fabric_datagram (datapath, i, now);
          else
            parse_peer_datagram (datapath, i);
        }
      gbd_engine_prefetch (datapath->engine, datapath->packets,
                           datapath->packet_count);
      for (unsigned i = 0; i < datapath->packet_count; i++)
        route_packet (datapath, &datapath->packets[i], datapath->indexes[i],
                      is_fabric, now);
      for (int i = 0; i < QUEUE_COUNT; i++)
        flush (datapath, &datapath->queues[i]);
      handled += count;
      if (count < BATCH)
        break;
    }
  return handled;
}

void
gbd_datapath_get_stats (const gbd_datapath_t *datapath,
                        gbd_datapath_stats_t *stats)
{
  *stats = datapath->stats;
}

static bool
open_sockets (gbd_datapath_t *datapath, const char **error)
{
  const gbd_datapath_settings_t *settings = &datapath->settings;
  uint32_t buffer = settings->socket_buffer;
  datagram_queue_t *queues = datapath->queues;

  datapath->fabric_fd = gbd_udp_listen (&settings->fabric_listen, buffer);
  if (datapath->fabric_fd < 0)
    {
      *error = "cannot bind the fabric's UDP address; use an address of this "
               "host and a port that no other process has";
      return false;
    }
  datapath->peer_fd = gbd_udp_listen (&settings->peer_listen, buffer);
  if (datapath->peer_fd < 0)
    {
      *error = "cannot bind the UDP address for peers; use an address of this "
               "host and a port that no other process has";
      return false;
    }
  /* A host may lack an address family; packets to it are counted as dropped.
   */
  queues[QUEUE_BACKEND_IPV4].fd = gbd_udp_open (4, buffer);
  queues[QUEUE_BACKEND_IPV6].fd = gbd_udp_open (6, buffer);
  queues[QUEUE_PEER].fd = datapath->peer_fd;
  queues[QUEUE_FABRIC].fd = datapath->fabric_fd;
  return true;
}

static unsigned
receive_batch (gbd_datapath_t *datapath, bool is_fabric)
{
  size_t headroom = is_fabric ? GBD_SHIM_LENGTH : 0;
  for (unsigned i = 0; i < BATCH; i++)
    {
      struct msghdr *header = &datapath->messages[i].msg_hdr;
      datapath->iovecs[i].iov_base = datapath->buffers[i] + headroom;
      datapath->iovecs[i].iov_len = GBD_SHIM_LENGTH + PACKET_MAX - headroom;
      header->msg_iov = &datapath->iovecs[i];
      header->msg_iovlen = 1;
      header->msg_name = is_fabric ? &datapath->addresses[i] : NULL;
      header->msg_namelen = is_fabric ? sizeof datapath->addresses[i] : 0;
    }
  int fd = is_fabric ? datapath->fabric_fd : datapath->peer_fd;
  int count = recvmmsg (fd, datapath->messages, BATCH, MSG_DONTWAIT, NULL);
  return count < 0 ? 0 : (unsigned)count;
}

static void
parse_fabric_datagram (gbd_datapath_t *datapath, unsigned index,
                       gbd_time_t now)
{
  const struct mmsghdr *message = &datapath->messages[index];
  datapath->stats.fabric_packets++;
  datapath->stats.fabric_bytes += message->msg_len;
  datapath->stats.last_packet_at = now;
  if (message->msg_hdr.msg_flags & MSG_TRUNC)
    count_drop (datapath, GBD_DROP_TRUNCATED);
  else
    parse_packet (datapath, index, datapath->buffers[index] + GBD_SHIM_LENGTH,
                  message->msg_len);
}

static void
parse_peer_datagram (gbd_datapath_t *datapath, unsigned index)
{
  const struct mmsghdr *message = &datapath->messages[index];
  const uint8_t *bytes = datapath->buffers[index];
  size_t length = message->msg_len;
  datapath->stats.peer_packets++;
  datapath->stats.peer_bytes += length;
  if ((message->msg_hdr.msg_flags & MSG_TRUNC)
      || gbd_shim_decode (bytes, length, datapath->settings.key,
                          &datapath->shims[index])
             != GBD_OK)
    count_drop (datapath, GBD_DROP_BAD_SHIM);
  else
    parse_packet (datapath, index, bytes + GBD_SHIM_LENGTH,
                  length - GBD_SHIM_LENGTH);
}

static void
parse_packet (gbd_datapath_t *datapath, unsigned index, const uint8_t *bytes,
              size_t length)
{
  gbd_packet_t *packet = &datapath->packets[datapath->packet_count];
  gbd_drop_t drop = gbd_packet_parse (bytes, length, packet);
  if (drop != GBD_DROP_NONE)
    {
      count_drop (datapath, drop);
      return;
    }
  datapath->indexes[datapath->packet_count++] = (uint8_t)index;
}

static void
route_packet (gbd_datapath_t *datapath, const gbd_packet_t *packet,
              unsigned index, bool is_fabric, gbd_time_t now)
{
  gbd_decision_t decision;
  datagram_t datagram
      = { index, datapath->buffers[index] + GBD_SHIM_LENGTH, packet->length,
          is_fabric ? NULL : &datapath->shims[index] };
  if (is_fabric)
    {
      datapath->fabric.length = datapath->messages[index].msg_hdr.msg_namelen;
      memcpy (&datapath->fabric.address, &datapath->addresses[index],
              datapath->fabric.length);
    }
  gbd_engine_route (datapath->engine, packet, datagram.shim, now, &decision);
  execute_decision (datapath, &datagram, packet, &decision, now);
}

static void
execute_decision (gbd_datapath_t *datapath, const datagram_t *datagram,
                  const gbd_packet_t *packet, const gbd_decision_t *decision,
                  gbd_time_t now)
{
  const destination_t *peer = NULL;
  gbd_drop_t drop = GBD_DROP_NONE;
  if (decision->kind == GBD_ACTION_DROP)
    drop = decision->drop;
  else if (decision->kind == GBD_ACTION_BACKEND
           && !is_backend_of_service (datapath, packet, decision))
    drop = GBD_DROP_ISOLATION;
  else if (decision->kind == GBD_ACTION_PEER)
    {
      peer = find_peer (datapath, decision->peer);
      drop = peer ? GBD_DROP_NONE : GBD_DROP_SEND;
    }
  else if (decision->kind == GBD_ACTION_RESET && !datapath->fabric.length)
    drop = GBD_DROP_SEND;

  if (drop != GBD_DROP_NONE)
    {
      count_drop (datapath, drop);
      /* A drop that the engine decided is committed to the engine.  A decision
         to forward or reset that cannot be carried out is not. */
      if (decision->kind == GBD_ACTION_DROP)
        gbd_engine_commit (datapath->engine, packet, decision, now);
      return;
    }
  gbd_engine_commit (datapath->engine, packet, decision, now);
  if (decision->kind == GBD_ACTION_BACKEND)
    queue_to_backend (datapath, datagram, &decision->backend);
  else if (decision->kind == GBD_ACTION_PEER)
    queue_to_peer (datapath, datagram, peer, &decision->shim);
  else
    queue_reset (datapath, datagram, packet);
}

/* Checks isolation between services: looks up the service again, only by
   the packet's destination address, so that a fault in an earlier step of
   the decision cannot send the packet to another service. */
static bool
is_backend_of_service (const gbd_datapath_t *datapath,
                       const gbd_packet_t *packet,
                       const gbd_decision_t *decision)
{
  const gbd_catalog_t *catalog = gbd_engine_get_catalog (datapath->engine);
  if (!catalog)
    return false;
  gbd_service_handle_t service
      = gbd_catalog_find (catalog, &packet->flow.service);
  if (service == GBD_SERVICE_NONE || service != decision->service)
    return false;
  const gbd_service_info_t *info = gbd_catalog_get_service (catalog, service);
  const gbd_table_t *table = gbd_engine_get_table (datapath->engine, info->id);
  if (!table || decision->slot >= table->backend_count)
    return false;
  return gbd_address_is_equal (&table->backends[decision->slot].address,
                               &decision->backend);
}

static void
queue_to_backend (gbd_datapath_t *datapath, const datagram_t *datagram,
                  const gbd_address_t *backend)
{
  datagram_queue_t *queue
      = &datapath->queues[backend->family == 6 ? QUEUE_BACKEND_IPV6
                                               : QUEUE_BACKEND_IPV4];
  destination_t to;
  to.length = gbd_udp_to_sockaddr (backend, &to.address);
  queue_add (queue, datagram->bytes, datagram->length, &to);
  datapath->stats.to_backend_packets++;
  datapath->stats.to_backend_bytes += datagram->length;
}

static void
queue_to_peer (gbd_datapath_t *datapath, const datagram_t *datagram,
               const destination_t *peer, const gbd_shim_t *shim)
{
  uint8_t *bytes = datagram->bytes - GBD_SHIM_LENGTH;
  size_t length = datagram->length + GBD_SHIM_LENGTH;
  gbd_shim_encode (shim, datapath->settings.key, datagram->bytes,
                   datagram->length, bytes);
  queue_add (&datapath->queues[QUEUE_PEER], bytes, length, peer);
  datapath->stats.to_peer_packets++;
  datapath->stats.to_peer_bytes += length;
}

/* The reset goes to the last sender of the fabric, because this instance does
   not know which sender of the fabric sent a packet that another instance
   forwarded.  Every sender of the fabric can reach every caller. */
static void
queue_reset (gbd_datapath_t *datapath, const datagram_t *datagram,
             const gbd_packet_t *packet)
{
  uint8_t *bytes = datapath->resets[datagram->index];
  size_t length = gbd_packet_build_reset (packet, bytes);
  queue_add (&datapath->queues[QUEUE_FABRIC], bytes, length,
             &datapath->fabric);
  datapath->stats.resets++;
}

static void
queue_add (datagram_queue_t *queue, uint8_t *bytes, size_t length,
           const destination_t *to)
{
  assert (queue->count < BATCH);
  struct sockaddr_storage *address = &queue->addresses[queue->count];
  struct msghdr *header = &queue->messages[queue->count].msg_hdr;
  memcpy (address, &to->address, to->length);
  queue->iovecs[queue->count].iov_base = bytes;
  queue->iovecs[queue->count].iov_len = length;
  header->msg_name = address;
  header->msg_namelen = to->length;
  header->msg_iov = &queue->iovecs[queue->count];
  header->msg_iovlen = 1;
  queue->count++;
}

static void
flush (gbd_datapath_t *datapath, datagram_queue_t *queue)
{
  unsigned sent = 0;
  while (sent < queue->count)
    {
      int count = sendmmsg (queue->fd, queue->messages + sent,
                            queue->count - sent, MSG_DONTWAIT);
      if (count > 0)
        {
          sent += (unsigned)count;
          continue;
        }
      if (count < 0 && errno == EINTR)
        continue;
      /* The socket rejected the first unsent datagram; the following datagrams
         may succeed. */
      count_drop (datapath, GBD_DROP_SEND);
      sent++;
    }
  queue->count = 0;
}

static const destination_t *
find_peer (const gbd_datapath_t *datapath, gbd_instance_id_t id)
{
  for (uint32_t i = 0; i < datapath->peer_count; i++)
    {
      if (datapath->peer_ids[i] == id)
        return &datapath->peers[i];
    }
  return NULL;
}

static void
count_drop (gbd_datapath_t *datapath, gbd_drop_t drop)
{
  datapath->stats.drops[drop]++;
}
