#include "share/udp.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

socklen_t
gbd_udp_to_sockaddr (const gbd_address_t *address,
                     struct sockaddr_storage *out)
{
  if (address->family == 6)
    {
      struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;
      memset (in6, 0, sizeof *in6);
      in6->sin6_family = AF_INET6;
      in6->sin6_port = htons (address->port);
      memcpy (&in6->sin6_addr, address->ip, 16);
      return sizeof *in6;
    }
  struct sockaddr_in *in = (struct sockaddr_in *)out;
  memset (in, 0, sizeof *in);
  in->sin_family = AF_INET;
  in->sin_port = htons (address->port);
  memcpy (&in->sin_addr, address->ip, 4);
  return sizeof *in;
}

void
gbd_udp_from_sockaddr (const struct sockaddr_storage *from,
                       gbd_address_t *address)
{
  memset (address, 0, sizeof *address);
  if (from->ss_family == AF_INET6)
    {
      const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)from;
      address->family = 6;
      address->port = ntohs (in6->sin6_port);
      memcpy (address->ip, &in6->sin6_addr, 16);
    }
  else if (from->ss_family == AF_INET)
    {
      const struct sockaddr_in *in = (const struct sockaddr_in *)from;
      address->family = 4;
      address->port = ntohs (in->sin_port);
      memcpy (address->ip, &in->sin_addr, 4);
    }
}

int
gbd_udp_open (uint8_t family, uint32_t buffer_size)
{
  int domain = family == 6 ? AF_INET6 : AF_INET;
  int fd = socket (domain, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (buffer_size)
    {
      /* The kernel silently reduces larger sizes to its maximum. */
      int bytes = (int)buffer_size;
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
      setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    }
  return fd;
}

int
gbd_udp_listen (const gbd_address_t *address, uint32_t buffer_size)
{
  int fd = gbd_udp_open (address->family, buffer_size);
  if (fd < 0)
    return -1;

  struct sockaddr_storage name;
  socklen_t length = gbd_udp_to_sockaddr (address, &name);
  int on = 1;
  if (address->family == 6
      && setsockopt (fd, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on) < 0)
    goto failed;
  if (bind (fd, (const struct sockaddr *)&name, length) < 0)
    goto failed;
  return fd;

failed:;
  int error = errno;
  close (fd);
  errno = error;
  return -1;
}

void
gbd_udp_get_address (int fd, gbd_address_t *address)
{
  struct sockaddr_storage name = { .ss_family = AF_UNSPEC };
  socklen_t length = sizeof name;
  getsockname (fd, (struct sockaddr *)&name, &length);
  gbd_udp_from_sockaddr (&name, address);
}
