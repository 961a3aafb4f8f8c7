/* Addresses as text.  */

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <galenaford/record.h>

enum
{
  ADDRESS_TEXT_BYTES = 16,
  PORT_MAX = 65535
};

enum galena_result
galena_endpoint_parse (const char *text, struct galena_endpoint *endpoint)
{
  const char *colon = strchr (text, ':');
  char address[ADDRESS_TEXT_BYTES];
  struct in_addr parsed;
  unsigned long port;
  char *end;

  if (colon == NULL || (size_t)(colon - text) >= sizeof address)
    return GALENA_ERR_INVALID;
  memcpy (address, text, (size_t)(colon - text));
  address[colon - text] = '\0';
  if (inet_pton (AF_INET, address, &parsed) != 1)
    return GALENA_ERR_INVALID;
  if (colon[1] < '0' || colon[1] > '9')
    return GALENA_ERR_INVALID;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port == 0 || port > PORT_MAX)
    return GALENA_ERR_INVALID;
  endpoint->ip = ntohl (parsed.s_addr);
  endpoint->port = (uint16_t)port;
  return GALENA_OK;
}
