/** @file free_address.h
 *  Choice of a loopback address with a free TCP port.
 */
#ifndef TEST_FREE_ADDRESS_H
#define TEST_FREE_ADDRESS_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gooseberrydrum/types.h"

static inline gbd_address_t
choose_free_address (void)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t length = sizeof name;
  gbd_address_t address;
  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&name, sizeof name), 0);
  getsockname (fd, (struct sockaddr *)&name, &length);
  close (fd);
  gbd_address_parse ("127.0.0.1:1", &address);
  address.port = ntohs (name.sin_port);
  return address;
}

#endif
