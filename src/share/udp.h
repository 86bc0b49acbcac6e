/** @file udp.h
 *  Datagram sockets and their addresses.
 */
#ifndef SHARE_UDP_H
#define SHARE_UDP_H

#include <sys/socket.h>

#include "gooseberrydrum/types.h"

/** Write an address as the socket calls take it.
 *  @return its length in bytes. */
socklen_t gbd_udp_to_sockaddr (const gbd_address_t *address,
                               struct sockaddr_storage *out);

/** Read an address that a socket call gave; family 0 for another family. */
void gbd_udp_from_sockaddr (const struct sockaddr_storage *from,
                            gbd_address_t *address);

/** Open a non-blocking socket and bind it.
 *  @param buffer  bytes to ask for in each direction; 0 leaves the default
 *  @return the descriptor, or -1 with errno set. */
int gbd_udp_listen (const gbd_address_t *address, uint32_t buffer);

/** Open a non-blocking socket for sending alone.
 *  @param family 4 or 6
 *  @return the descriptor, or -1 with errno set. */
int gbd_udp_open (uint8_t family, uint32_t buffer);

/** Address that a socket is bound to, with the port the kernel chose. */
void gbd_udp_get_address (int fd, gbd_address_t *address);

#endif
