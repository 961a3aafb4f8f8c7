/* The flow tag: the upstream that accepted a flow, the incarnation of its
   agent (drawn at each start), and a nonce.

   An entry routes a packet by the upstream number alone, or, if the tag has
   none, by the hash of the flow id (forward.c).  The agent compares the whole
   tag, so a restarted agent never accepts packets of flows from before its
   restart.  */

#ifndef GALENAFORD_TAG_H
#define GALENAFORD_TAG_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  GALENA_TAG_UPSTREAM_BITS = 20,
  GALENA_TAG_INCARNATION_BITS = 20,
  GALENA_TAG_NONCE_BITS = 24
};

/* Returns the tag with these fields; each is truncated to its width.  */
static inline uint64_t
galena_tag_make (uint32_t upstream, uint32_t incarnation, uint32_t nonce)
{
  uint64_t tag = upstream & ((1u << GALENA_TAG_UPSTREAM_BITS) - 1);

  tag <<= GALENA_TAG_INCARNATION_BITS;
  tag |= incarnation & ((1u << GALENA_TAG_INCARNATION_BITS) - 1);
  tag <<= GALENA_TAG_NONCE_BITS;
  tag |= nonce & ((1u << GALENA_TAG_NONCE_BITS) - 1);
  return tag;
}

/* Returns the upstream number in TAG.  */
static inline uint32_t
galena_tag_upstream (uint64_t tag)
{
  return (uint32_t)(tag >> (64 - GALENA_TAG_UPSTREAM_BITS));
}

/* Returns TAG without its upstream number, for front ends whose packets have
   no room for one: the upstream is 0, the incarnation and nonce stay as a
   check.  */
static inline uint64_t
galena_tag_without_upstream (uint64_t tag)
{
  return tag & (UINT64_MAX >> GALENA_TAG_UPSTREAM_BITS);
}

/* Returns whether CARRIED, the tag of a packet with or without its upstream
   number, matches TAG.  */
static inline bool
galena_tag_matches (uint64_t tag, uint64_t carried)
{
  if (galena_tag_upstream (carried) == 0)
    tag = galena_tag_without_upstream (tag);
  return tag == carried;
}

/* Returns the incarnation in TAG.  */
static inline uint32_t
galena_tag_incarnation (uint64_t tag)
{
  return (uint32_t)(tag >> GALENA_TAG_NONCE_BITS)
         & ((1u << GALENA_TAG_INCARNATION_BITS) - 1);
}

#endif
