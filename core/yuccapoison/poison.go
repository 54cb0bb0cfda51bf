// Package yuccapoison recognizes requests that kill the servers that run them
// and stops them.
package yuccapoison

// Fingerprint identifies what makes requests alike: the service, the method, the
// target and the body.
type Fingerprint uint64
