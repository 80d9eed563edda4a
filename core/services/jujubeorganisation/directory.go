// Package jujubeorganisation authenticates requests by the API keys of organisations.
//
// The directory of organisations is part of the desired state and immutable. Keys are held as digests only and are looked up by
// digest, so neither memory nor the time of a comparison reveals them. Whether an instance may decide on a request depends on the age
// of its view of the desired state, because keys are revoked and added by new versions of it (see View).
package jujubeorganisation

import (
	"crypto/sha256"
	"fmt"
	"strings"

	model "jujubepier.example/core/models/jujubemodel"
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Organisation is a customer whose callers authenticate with API keys.
type Organisation struct {
	Name model.OrganisationName
	// Keys are the digests of the keys; an organisation without keys can't call.
	Keys []Digest
	// HasPriority is true if the organisation has a priority of its own; 0 is the highest.
	HasPriority bool
	Priority    int
}

// Directory holds the organisations of one version of the desired state. It doesn't change.
type Directory struct {
	count int
	byKey map[Digest]*Organisation
}

// ErrMalformed is returned for organisations that can't be used. It contains no key.
type ErrMalformed struct {
	// Index is the position in the list, beginning with 0.
	Index  int
	Name   model.OrganisationName
	Reason string
}

// Error returns the organisation and the reason.
func (e ErrMalformed) Error() string {
	return fmt.Sprintf("organisation %d (%q): %s", e.Index, e.Name, e.Reason)
}

// NewDirectory returns the directory of a list of organisations, or ErrMalformed.
func NewDirectory(organisations []Organisation) (*Directory, error) {
	directory := &Directory{count: len(organisations), byKey: map[Digest]*Organisation{}}
	names := map[model.OrganisationName]bool{}
	empty := NewDigest("")
	for i := range organisations {
		organisation := organisations[i]
		malformed := func(reason string) error {
			return ErrMalformed{Index: i, Name: organisation.Name, Reason: reason}
		}
		switch {
		case organisation.Name == "":
			return nil, malformed("the name is empty")
		case !isHeaderValue(string(organisation.Name)):
			return nil, malformed("the name can't be sent in a header")
		case names[organisation.Name]:
			return nil, malformed("the name is repeated")
		case organisation.Priority < 0:
			return nil, malformed("the priority is negative")
		}
		names[organisation.Name] = true
		for _, key := range organisation.Keys {
			if key == empty {
				return nil, malformed("a key is empty")
			}
			if owner, ok := directory.byKey[key]; ok && owner.Name != organisation.Name {
				return nil, malformed(fmt.Sprintf("a key is also one of organisation %q", owner.Name))
			}
			directory.byKey[key] = &organisation
		}
	}
	return directory, nil
}

// isHeaderValue reports whether a text arrives unchanged in a header: without control characters, and without spaces around it.
func isHeaderValue(text string) bool {
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// Find returns the organisation of a key.
func (d *Directory) Find(key Digest) (Organisation, bool) {
	organisation, ok := d.byKey[key]
	if !ok {
		return Organisation{}, false
	}
	return *organisation, true
}

// Len returns the number of organisations.
func (d *Directory) Len() int { return d.count }
