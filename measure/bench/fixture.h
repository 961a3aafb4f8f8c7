/* Builds snapshots of any size for measurements.  */

#ifndef GALENAFORD_TEST_FIXTURE_H
#define GALENAFORD_TEST_FIXTURE_H

#include <galenaford/config.h>

enum
{
  /* Size of the fleet in measurements.  */
  FLEET_SERVICES = 330,
  FLEET_UPSTREAMS = 2900
};

struct fixture_options
{
  uint32_t services;
  /* Spread evenly over the services, numbered from 1.  */
  uint32_t upstreams;
  /* Where agents receive datagrams: the agent of upstream index I uses the
     port of AGENT plus I modulo AGENT_PORTS, which is at least 1.  */
  struct galena_endpoint agent;
  uint32_t agent_ports;
};

/* Returns the address of service INDEX.  */
struct galena_endpoint fixture_service_address (uint32_t index);

/* Creates a snapshot in *OUT, in which all upstreams are active and have the
   same weight; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result fixture_config (const struct fixture_options *options,
                                   struct galena_config **out);

struct galena_random;

/* Returns a random flow id.  */
struct galena_flow_id fixture_flow (struct galena_random *random);

#endif
