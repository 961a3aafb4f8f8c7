/* Parser of the platform's list of instances, which is JSON.  */

#ifndef GALENAFORD_INSTANCES_H
#define GALENAFORD_INSTANCES_H

#include <stddef.h>

#include <galenaford/sync.h>

/* Parses a list of instances; release it with galena_instances_release.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_TOO_LARGE, GALENA_ERR_MEMORY.  */
enum galena_result galena_instances_parse (const char *text, size_t size,
                                           struct galena_instance_list *list);

/* Frees the rows of LIST.  */
void galena_instances_release (struct galena_instance_list *list);

#endif
