/* Reads of the platform's configuration service over HTTP.  */

#ifndef GALENAFORD_HTTP_H
#define GALENAFORD_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct galena_http_options
{
  /* Start of every address read, as in "http://192.0.2.1:8500".  Copied.  */
  const char *base;
  /* Most bytes of one answer.  */
  size_t bytes_max;
};

struct galena_http;

/* Creates a reader in *OUT; the caller owns it; one thread uses it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_http_create (const struct galena_http_options *options,
                    struct galena_http **out);

/* Destroys HTTP; accepts NULL.  */
void galena_http_destroy (struct galena_http *http);

/* Reads PATH and waits up to TIMEOUT_MS.  On success *TEXT and *SIZE are the
   answer, valid until the next read.
   Errors: GALENA_ERR_IO, GALENA_ERR_TOO_LARGE, GALENA_ERR_NOT_FOUND for any
   status but 200.  */
enum galena_result galena_http_get (struct galena_http *http, const char *path,
                                    uint32_t timeout_ms, const char **text,
                                    size_t *size);

/* Makes a read in progress on another thread fail soon, for good.  */
void galena_http_abort (struct galena_http *http);

#endif
