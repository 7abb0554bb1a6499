/*
 * A stand-in of the store and a client to reach it, in the test's main loop.
 */
#ifndef TESTS_STORE_FIXTURE_H
#define TESTS_STORE_FIXTURE_H

#include "gateway_fixture.h"

#include <auburnstile/internal/store_sync.h>

class StoreTest : public ::testing::Test
{
      protected:
	struct aub_timer_service *timers;
	struct aub_poller *poller;
	struct aub_http_client *client;
	struct platform_store *store;

	void SetUp() override
	{
		timers = aub_timer_service_new(NULL);
		poller = aub_poller_new();
		client = aub_http_client_new(poller, timers);
		store = platform_store_new(poller, timers);
	}
	void TearDown() override
	{
		platform_store_free(store);
		aub_http_client_free(client);
		aub_poller_free(poller);
		aub_timer_service_free(timers);
	}
};

#endif
