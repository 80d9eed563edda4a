package jujubemodel

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the number of leading bytes of a prompt that identify its prefix in cache events.
const PrefixBytes = 64

// HashPrefix returns the hash of a prompt's first PrefixBytes bytes, the key of its prefix in cache events.
func HashPrefix(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return xxhash.Sum64String(prompt)
}

// NewFingerprint hashes the parts of a request's content. A separator follows each part, so that moving bytes from one part
// to the next changes the hash.
func NewFingerprint(parts ...string) Fingerprint { return NewBodyFingerprint(nil, parts...) }

// NewBodyFingerprint hashes the parts of a request's content and then its body, which may be large and isn't copied.
func NewBodyFingerprint(body []byte, parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}
