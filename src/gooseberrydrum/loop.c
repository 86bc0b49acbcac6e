#include "loop.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

static int descriptor_callback (struct lws *wsi,
                                enum lws_callback_reasons reason, void *user,
                                void *in, size_t length);
static bool adopt (struct lws_vhost *vhost, gbd_descriptor_t *descriptor);

const struct lws_protocols gbd_loop_protocols[]
    = { { .name = "descriptors", .callback = descriptor_callback }, { 0 } };

bool
gbd_loop_poll_descriptors (struct lws_context *context,
                           gbd_descriptor_t *descriptors, size_t count)
{
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = gbd_loop_protocols,
    .vhost_name = "descriptors",
  };
  struct lws_vhost *vhost = lws_create_vhost (context, &info);
  for (size_t i = 0; i < count; i++)
    {
      if (!vhost || !adopt (vhost, &descriptors[i]))
        return false;
    }
  return true;
}

bool
gbd_loop_run (struct lws_context *context, const bool *is_done)
{
  while (!*is_done)
    {
      if (lws_service (context, 0) < 0)
        return false;
    }
  return true;
}

int
gbd_loop_open_signals (void)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  sigaddset (&signals, SIGUSR1);
  signal (SIGPIPE, SIG_IGN);
  if (sigprocmask (SIG_BLOCK, &signals, NULL) < 0)
    return -1;
  return signalfd (-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

gbd_time_t
gbd_loop_now (void *data)
{
  (void)data;
  struct timespec time;
  clock_gettime (CLOCK_BOOTTIME, &time);
  return (gbd_time_t)time.tv_sec * GBD_SECOND + time.tv_nsec / 1000;
}

static bool
adopt (struct lws_vhost *vhost, gbd_descriptor_t *descriptor)
{
  /* libwebsockets closes the descriptors that it adopts, so it gets a
     duplicate. */
  lws_sock_file_fd_type copy = { .filefd = dup (descriptor->fd) };
  if (copy.filefd < 0)
    return false;
  struct lws *wsi = lws_adopt_descriptor_vhost (
      vhost, LWS_ADOPT_RAW_FILE_DESC, copy, gbd_loop_protocols[0].name, NULL);
  if (!wsi)
    return false;
  lws_set_opaque_user_data (wsi, descriptor);
  return true;
}

static int
descriptor_callback (struct lws *wsi, enum lws_callback_reasons reason,
                     void *user, void *in, size_t length)
{
  (void)user;
  (void)in;
  (void)length;
  gbd_descriptor_t *descriptor = lws_get_opaque_user_data (wsi);
  if (reason == LWS_CALLBACK_RAW_RX_FILE && descriptor)
    descriptor->handle (descriptor->data, descriptor->fd);
  return 0;
}
