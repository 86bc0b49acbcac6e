#include "gooseberrydrum/packet_codec.h"

const gbd_packet_codec_t gbd_packet_codec_ip = {
  .name = "ip",
  .parse = gbd_packet_parse,
  .build_reset = gbd_packet_build_reset,
};
