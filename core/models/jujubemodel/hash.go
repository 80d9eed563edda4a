package jujubemodel

import "github.com/cespare/xxhash/v2"

// PrefixBytes is how much of a prompt identifies its prefix in cache events.
const PrefixBytes = 64

// HashPrefix returns the cache key of a prompt.
func HashPrefix(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return xxhash.Sum64String(prompt)
}

// NewFingerprint hashes content; the parts are separated so that moving bytes between them changes the value.
func NewFingerprint(parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Fingerprint(digest.Sum64())
}
