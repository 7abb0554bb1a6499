/*
 * Addresses on loopback for what a test starts later.
 */
#ifndef TESTS_ADDRESSES_H
#define TESTS_ADDRESSES_H

#include <auburnstile/internal/tcp.h>
#include <common/child.h>

#include <string>

#include <unistd.h>

/*
 * Free for connections and for datagrams, and given to no other program that
 * asks so: see child_pick_free_port().
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
