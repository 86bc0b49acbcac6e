#define _GNU_SOURCE /* NOLINT: the C library's name, for recvmmsg */
#include "datapath.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/udp.h"

#define BATCH GBD_PREFETCH_MAX /* datagrams of one receive call */
#define BATCHES_MAX 8   /* of one call, so that other work gets its turn */
#define PACKET_MAX 9216 /* bytes: a jumbo frame */
#define PEERS_MAX 64

/** Room for the shim, then the packet, so that passing a packet on to another
 *  instance copies nothing.  An odd number of cache lines spreads the packet
 *  headers over all cache sets. */
#define SLOT_LENGTH (GBD_SHIM_LENGTH + PACKET_MAX + 32)

/** Datagrams that wait for the end of the batch, all for one socket. */
typedef struct
{
  int fd;
  unsigned count;
  struct mmsghdr messages[BATCH];
  struct iovec parts[BATCH];
  struct sockaddr_storage names[BATCH];
} queue_t;

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
  struct sockaddr_storage name;
  socklen_t length; /* 0 if there is none */
} destination_t;

struct gbd_datapath
{
  gbd_datapath_settings_t settings;
  gbd_engine_t *engine;
  int fabric_fd;
  int peer_fd;
  destination_t fabric; /* newest sender on the fabric's socket */
  uint32_t peer_count;
  gbd_instance_id_t peer_ids[PEERS_MAX];
  destination_t peers[PEERS_MAX];
  gbd_datapath_stats_t stats;
  queue_t queues[QUEUE_COUNT];
  struct mmsghdr messages[BATCH];
  struct iovec parts[BATCH];
  struct sockaddr_storage names[BATCH];
  unsigned packet_count; /* datagrams of the batch that hold a packet */
  gbd_packet_t packets[BATCH];
  uint8_t indexes[BATCH]; /* of the packets' datagrams */
  gbd_shim_t shims[BATCH];
  uint8_t resets[BATCH][GBD_RESET_LENGTH_MAX];
  uint8_t slots[BATCH][SLOT_LENGTH];
};

/** One received datagram. */
typedef struct
{
  unsigned index;
  uint8_t *bytes; /* the packet; headroom for a shim before it */
  size_t length;
  const gbd_shim_t *shim; /* NULL from the fabric */
} received_t;

static bool open_sockets (gbd_datapath_t *datapath, const char **error);
static unsigned receive_batch (gbd_datapath_t *datapath, bool is_fabric);
static void read_fabric (gbd_datapath_t *datapath, unsigned index,
                         gbd_time_t now);
static void read_peer (gbd_datapath_t *datapath, unsigned index);
static void read_packet (gbd_datapath_t *datapath, unsigned index,
                         const uint8_t *bytes, size_t length);
static void decide (gbd_datapath_t *datapath, const gbd_packet_t *packet,
                    unsigned index, bool is_fabric, gbd_time_t now);
static void carry_out (gbd_datapath_t *datapath, const received_t *received,
                       const gbd_packet_t *packet,
                       const gbd_decision_t *decision, gbd_time_t now);
static bool is_isolated (const gbd_datapath_t *datapath,
                         const gbd_packet_t *packet,
                         const gbd_decision_t *decision);
static void queue_to_backend (gbd_datapath_t *datapath,
                              const received_t *received,
                              const gbd_address_t *backend);
static void queue_to_peer (gbd_datapath_t *datapath,
                           const received_t *received,
                           const destination_t *peer, const gbd_shim_t *shim);
static void queue_reset (gbd_datapath_t *datapath, const received_t *received,
                         const gbd_packet_t *packet);
static void queue_add (queue_t *queue, uint8_t *bytes, size_t length,
                       const destination_t *to);
static void flush (gbd_datapath_t *datapath, queue_t *queue);
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
  uint32_t at = 0;
  while (at < datapath->peer_count && datapath->peer_ids[at] != id)
    at++;
  if (at == PEERS_MAX)
    return GBD_ERROR_MEMORY;
  if (at == datapath->peer_count)
    datapath->peer_count++;
  datapath->peer_ids[at] = id;
  datapath->peers[at].length
      = gbd_udp_to_sockaddr (address, &datapath->peers[at].name);
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
      /* A process paused before this line decides by the time after it. */
      gbd_time_t now
          = datapath->settings.clock (datapath->settings.clock_data);
      datapath->packet_count = 0;
      /* All are read first, so that what the decisions need is loaded from
         memory side by side. */
      for (unsigned i = 0; i < count; i++)
        {
          if (is_fabric)
            read_fabric (datapath, i, now);
          else
            read_peer (datapath, i);
        }
      gbd_engine_prefetch (datapath->engine, datapath->packets,
                           datapath->packet_count);
      for (unsigned i = 0; i < datapath->packet_count; i++)
        decide (datapath, &datapath->packets[i], datapath->indexes[i],
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
  queue_t *queues = datapath->queues;

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
  /* A host may lack one of the families; what goes there counts as dropped.
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
      datapath->parts[i].iov_base = datapath->slots[i] + headroom;
      datapath->parts[i].iov_len = GBD_SHIM_LENGTH + PACKET_MAX - headroom;
      header->msg_iov = &datapath->parts[i];
      header->msg_iovlen = 1;
      header->msg_name = is_fabric ? &datapath->names[i] : NULL;
      header->msg_namelen = is_fabric ? sizeof datapath->names[i] : 0;
    }
  int fd = is_fabric ? datapath->fabric_fd : datapath->peer_fd;
  int count = recvmmsg (fd, datapath->messages, BATCH, MSG_DONTWAIT, NULL);
  return count < 0 ? 0 : (unsigned)count;
}

static void
read_fabric (gbd_datapath_t *datapath, unsigned index, gbd_time_t now)
{
  const struct mmsghdr *message = &datapath->messages[index];
  datapath->stats.fabric_packets++;
  datapath->stats.fabric_bytes += message->msg_len;
  datapath->stats.newest_packet_at = now;
  if (message->msg_hdr.msg_flags & MSG_TRUNC)
    count_drop (datapath, GBD_DROP_TRUNCATED);
  else
    read_packet (datapath, index, datapath->slots[index] + GBD_SHIM_LENGTH,
                 message->msg_len);
}

static void
read_peer (gbd_datapath_t *datapath, unsigned index)
{
  const struct mmsghdr *message = &datapath->messages[index];
  const uint8_t *bytes = datapath->slots[index];
  size_t length = message->msg_len;
  datapath->stats.peer_packets++;
  datapath->stats.peer_bytes += length;
  if ((message->msg_hdr.msg_flags & MSG_TRUNC)
      || gbd_shim_decode (bytes, length, datapath->settings.key,
                          &datapath->shims[index])
             != GBD_OK)
    count_drop (datapath, GBD_DROP_BAD_SHIM);
  else
    read_packet (datapath, index, bytes + GBD_SHIM_LENGTH,
                 length - GBD_SHIM_LENGTH);
}

static void
read_packet (gbd_datapath_t *datapath, unsigned index, const uint8_t *bytes,
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
decide (gbd_datapath_t *datapath, const gbd_packet_t *packet, unsigned index,
        bool is_fabric, gbd_time_t now)
{
  gbd_decision_t decision;
  received_t received
      = { index, datapath->slots[index] + GBD_SHIM_LENGTH, packet->length,
          is_fabric ? NULL : &datapath->shims[index] };
  if (is_fabric)
    {
      datapath->fabric.length = datapath->messages[index].msg_hdr.msg_namelen;
      memcpy (&datapath->fabric.name, &datapath->names[index],
              datapath->fabric.length);
    }
  gbd_engine_route (datapath->engine, packet, received.shim, now, &decision);
  carry_out (datapath, &received, packet, &decision, now);
}

static void
carry_out (gbd_datapath_t *datapath, const received_t *received,
           const gbd_packet_t *packet, const gbd_decision_t *decision,
           gbd_time_t now)
{
  const destination_t *peer = NULL;
  gbd_drop_t drop = GBD_DROP_NONE;
  if (decision->kind == GBD_ACTION_DROP)
    drop = decision->drop;
  else if (decision->kind == GBD_ACTION_BACKEND
           && !is_isolated (datapath, packet, decision))
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
      /* What was decided is counted; what could not be done is not kept. */
      if (decision->kind == GBD_ACTION_DROP)
        gbd_engine_commit (datapath->engine, packet, decision, now);
      return;
    }
  gbd_engine_commit (datapath->engine, packet, decision, now);
  if (decision->kind == GBD_ACTION_BACKEND)
    queue_to_backend (datapath, received, &decision->backend);
  else if (decision->kind == GBD_ACTION_PEER)
    queue_to_peer (datapath, received, peer, &decision->shim);
  else
    queue_reset (datapath, received, packet);
}

/* Looks the packet up anew, by its own address alone: whatever went wrong on
   the way to the decision, it reaches only its own service. */
static bool
is_isolated (const gbd_datapath_t *datapath, const gbd_packet_t *packet,
             const gbd_decision_t *decision)
{
  const gbd_catalog_t *catalog = gbd_engine_get_catalog (datapath->engine);
  if (!catalog)
    return false;
  gbd_service_t service = gbd_catalog_find (catalog, &packet->flow.service);
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
queue_to_backend (gbd_datapath_t *datapath, const received_t *received,
                  const gbd_address_t *backend)
{
  queue_t *queue
      = &datapath->queues[backend->family == 6 ? QUEUE_BACKEND_IPV6
                                               : QUEUE_BACKEND_IPV4];
  destination_t to;
  to.length = gbd_udp_to_sockaddr (backend, &to.name);
  queue_add (queue, received->bytes, received->length, &to);
  datapath->stats.to_backend_packets++;
  datapath->stats.to_backend_bytes += received->length;
}

static void
queue_to_peer (gbd_datapath_t *datapath, const received_t *received,
               const destination_t *peer, const gbd_shim_t *shim)
{
  uint8_t *bytes = received->bytes - GBD_SHIM_LENGTH;
  size_t length = received->length + GBD_SHIM_LENGTH;
  gbd_shim_encode (shim, datapath->settings.key, received->bytes,
                   received->length, bytes);
  queue_add (&datapath->queues[QUEUE_PEER], bytes, length, peer);
  datapath->stats.to_peer_packets++;
  datapath->stats.to_peer_bytes += length;
}

/* A packet that came through a peer is answered by way of the newest sender
   here: any sender of the fabric reaches every caller. */
static void
queue_reset (gbd_datapath_t *datapath, const received_t *received,
             const gbd_packet_t *packet)
{
  uint8_t *bytes = datapath->resets[received->index];
  size_t length = gbd_packet_build_reset (packet, bytes);
  queue_add (&datapath->queues[QUEUE_FABRIC], bytes, length,
             &datapath->fabric);
  datapath->stats.resets++;
}

static void
queue_add (queue_t *queue, uint8_t *bytes, size_t length,
           const destination_t *to)
{
  assert (queue->count < BATCH);
  struct sockaddr_storage *name = &queue->names[queue->count];
  struct msghdr *header = &queue->messages[queue->count].msg_hdr;
  memcpy (name, &to->name, to->length);
  queue->parts[queue->count].iov_base = bytes;
  queue->parts[queue->count].iov_len = length;
  header->msg_name = name;
  header->msg_namelen = to->length;
  header->msg_iov = &queue->parts[queue->count];
  header->msg_iovlen = 1;
  queue->count++;
}

static void
flush (gbd_datapath_t *datapath, queue_t *queue)
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
      /* The first one was refused; those behind it may still go. */
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
