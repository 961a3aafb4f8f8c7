/* Names of the policies that settings may pick.  */

#ifndef GALENAFORD_POLICIES_H
#define GALENAFORD_POLICIES_H

#include <stdint.h>

/* Returns the name of policy INDEX for the choice of an upstream, the default
   first, or NULL past the last.  */
const char *galena_choice_name (uint32_t index);

/* Returns the name of policy INDEX for admission, the default first, or NULL
   past the last.  */
const char *galena_admission_name (uint32_t index);

#endif
