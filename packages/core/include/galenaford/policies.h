/* Names of the policies that settings may select.  */

#ifndef GALENAFORD_POLICIES_H
#define GALENAFORD_POLICIES_H

#include <stdint.h>

/* Returns the name of policy INDEX for the choice of an upstream, or NULL when
   INDEX is past the last one.  Policy 0 is the default.  */
const char *galena_choice_name (uint32_t index);

/* Returns the name of policy INDEX for admission, or NULL when INDEX is past
   the last one.  Policy 0 is the default.  */
const char *galena_admission_name (uint32_t index);

#endif
