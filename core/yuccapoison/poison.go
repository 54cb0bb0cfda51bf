// Package yuccapoison recognizes requests that kill the servers that run them
// and stops them.
package yuccapoison

// Print identifies what makes requests alike: the service, the method, the
// target and the body.
type Print uint64
