/* Percent-encoding of text from outside, for queries and log lines.  */

#ifndef GALENAFORD_PERCENT_H
#define GALENAFORD_PERCENT_H

#include <stddef.h>

enum
{
  /* Most bytes that one byte is encoded in.  */
  GALENA_PERCENT_BYTES = 3
};

/* Writes TEXT to ENCODED, of SIZE bytes, with every byte but letters, digits
   and "-_./" as %XX, and a terminating zero; what does not fit is cut off.  */
void galena_percent_encode (const char *text, char *encoded, size_t size);

#endif
