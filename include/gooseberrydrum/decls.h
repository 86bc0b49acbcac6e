/** @file decls.h
 *  Macros that give declarations C linkage in C++.
 */
#ifndef GOOSEBERRYDRUM_DECLS_H
#define GOOSEBERRYDRUM_DECLS_H

#ifdef __cplusplus
#define GBD_BEGIN_DECLS                                                       \
  extern "C"                                                                  \
  {
#define GBD_END_DECLS }
#else
#define GBD_BEGIN_DECLS
#define GBD_END_DECLS
#endif

#endif
