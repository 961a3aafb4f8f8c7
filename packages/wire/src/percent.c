/* Percent-encoding.  */

#include <stdio.h>
#include <string.h>

#include <galenaford/percent.h>

void
galena_percent_encode (const char *text, char *encoded, size_t size)
{
  size_t used = 0;

  for (; *text != '\0' && used + GALENA_PERCENT_BYTES < size; text++)
    {
      unsigned char byte = (unsigned char)*text;

      if ((byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z')
          || (byte >= 'A' && byte <= 'Z') || strchr ("-_./", byte) != NULL)
        encoded[used++] = (char)byte;
      else
        used += (size_t)snprintf (encoded + used, size - used, "%%%02X", byte);
    }
  encoded[used] = '\0';
}
