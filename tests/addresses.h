/* Unused loopback addresses for servers that a test starts later. */
#ifndef TESTS_ADDRESSES_H
#define TESTS_ADDRESSES_H

#include <auburnstile/internal/tcp.h>
#include <common/child.h>

#include <string>

#include <unistd.h>

/*
 * Returns an address that is free for TCP and UDP and isn't given to another
 * program that uses child_pick_free_port().
 */
static inline std::string free_address()
{
	for (;;) {
		std::string address =
			"127.0.0.1:" + std::to_string(child_pick_free_port());
		int fd = aub_udp_bind(address.c_str(), NULL);

		if (fd < 0)
			continue;
		close(fd);
		return address;
	}
}

#endif
