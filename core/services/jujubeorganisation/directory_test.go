package jujubeorganisation_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubeclock"
	organisation "jujubepier.example/core/services/jujubeorganisation"
)

func newDirectory(t *testing.T) *organisation.Directory {
	t.Helper()
	directory, err := organisation.NewDirectory([]organisation.Organisation{
		{Name: "a", Keys: []organisation.Digest{organisation.NewDigest("secret"), organisation.NewDigest("secret")}},
		{Name: "b", Keys: []organisation.Digest{organisation.NewDigest("secret2")}, HasPriority: true, Priority: 1},
		{Name: "c"},
	})
	assert.NilError(t, err)
	assert.Equal(t, directory.Len(), 3)
	return directory
}

// TestAuthenticate guards against a header that is taken for a key which it doesn't contain as a whole, alone and as a bearer token.
func TestAuthenticate(t *testing.T) {
	directory := newDirectory(t)
	for name, c := range map[string]struct {
		values  []string
		problem organisation.Problem
		want    string
	}{
		"known":                {values: []string{"Bearer secret"}, want: "a"},
		"scheme in lower case": {values: []string{"bearer  secret"}, want: "a"},
		"longer key":           {values: []string{"Bearer secret2"}, want: "b"},
		"prefix of a key":      {values: []string{"Bearer secre"}, problem: organisation.KeyUnknown},
		"key with a suffix":    {values: []string{"Bearer secret22"}, problem: organisation.KeyUnknown},
		"other case":           {values: []string{"Bearer Secret"}, problem: organisation.KeyUnknown},
		"organisation's name":  {values: []string{"Bearer c"}, problem: organisation.KeyUnknown},
		"none":                 {problem: organisation.KeyMissing},
		"repeated":             {values: []string{"Bearer secret", "Bearer secret"}, problem: organisation.KeyMalformed},
		"empty":                {values: []string{""}, problem: organisation.KeyMalformed},
		"scheme alone":         {values: []string{"Bearer"}, problem: organisation.KeyMalformed},
		"empty key":            {values: []string{"Bearer "}, problem: organisation.KeyMalformed},
		"other scheme":         {values: []string{"Basic secret"}, problem: organisation.KeyMalformed},
		"key alone":            {values: []string{"secret"}, problem: organisation.KeyMalformed},
		"two keys":             {values: []string{"Bearer secret, Bearer secret2"}, problem: organisation.KeyMalformed},
		"tab":                  {values: []string{"Bearer\tsecret"}, problem: organisation.KeyMalformed},
		"not ASCII":            {values: []string{"Bearer secr\u00e9t"}, problem: organisation.KeyMalformed},
		"512 bytes":            {values: []string{"Bearer " + strings.Repeat("x", 505)}, problem: organisation.KeyUnknown},
		"513 bytes":            {values: []string{"Bearer " + strings.Repeat("x", 506)}, problem: organisation.KeyMalformed},
	} {
		found, problem := directory.Authenticate(c.values)
		assert.Check(t, problem == c.problem && string(found.Name) == c.want, "%s: %q %q", name, problem, found.Name)
	}
}

// TestMalformedOrganisations guards against a directory that leaves out, or merges, what operators have written by mistake, and against
// an error that contains a key.
func TestMalformedOrganisations(t *testing.T) {
	key := organisation.NewDigest("secret")
	for name, c := range map[string][]organisation.Organisation{
		"empty name":        {{Name: ""}},
		"repeated name":     {{Name: "a"}, {Name: "a"}},
		"shared key":        {{Name: "a", Keys: []organisation.Digest{key}}, {Name: "b", Keys: []organisation.Digest{key}}},
		"empty key":         {{Name: "a", Keys: []organisation.Digest{organisation.NewDigest("")}}},
		"line break":        {{Name: "a\r\nX-Tenant: b"}},
		"space around":      {{Name: "a "}},
		"negative priority": {{Name: "a", Priority: -1}},
	} {
		_, err := organisation.NewDirectory(c)
		var malformed organisation.ErrMalformed
		assert.Check(t, errors.As(err, &malformed) && malformed.Index == len(c)-1 && malformed.Reason != "", "%s: %v", name, err)
	}
}

// TestDecideWithoutOrganisations guards against a key that is passed on by an instance that hasn't learned of the first organisations.
func TestDecideWithoutOrganisations(t *testing.T) {
	const bound = 5 * time.Second
	key := []string{"Bearer x"}
	for name, c := range map[string]struct {
		authorization []string
		age, bound    time.Duration
		uncertain     bool
		want          organisation.Decision
	}{
		"recent":              {key, 4499 * time.Millisecond, bound, false, organisation.Accept},
		"old":                 {key, 4500 * time.Millisecond, bound, false, organisation.Refuse},
		"uncertain":           {key, 0, bound, true, organisation.Refuse},
		"no key":              {nil, time.Hour, bound, true, organisation.Accept},
		"no bound":            {key, time.Hour, 0, false, organisation.Accept},
		"no bound, uncertain": {key, time.Hour, 0, true, organisation.Accept},
	} {
		view := organisation.View{Read: jujubeclock.RequestedNow(1), IsUncertain: c.uncertain}
		verdict := view.Decide(jujubeclock.Instant(1).Add(c.age), c.authorization, c.bound, false)
		assert.Check(t, verdict.Decision == c.want, "%s: %+v", name, verdict)
	}
}

// TestDecideUncertain guards against a decision from a view that may lack a version.
func TestDecideUncertain(t *testing.T) {
	view := organisation.View{Directory: newDirectory(t), Read: jujubeclock.RequestedNow(1), IsUncertain: true}
	for _, header := range []string{"Bearer secret", "Bearer other"} {
		assert.Equal(t, view.Decide(1, []string{header}, 0, true).Decision, organisation.Wait)
		assert.Equal(t, view.Decide(1, []string{header}, time.Second, false).Decision, organisation.Refuse)
	}
}

// TestDecide guards against decisions from a view that is too old, and against a request that is refused although the next read could
// decide.
func TestDecide(t *testing.T) {
	const bound = 5 * time.Second
	known, unknown := []string{"Bearer secret"}, []string{"Bearer other"}
	for name, c := range map[string]struct {
		authorization []string
		age, bound    time.Duration
		mayWait       bool
		want          organisation.Decision
	}{
		"known, below the margin":           {known, 4499 * time.Millisecond, bound, true, organisation.Accept},
		"known, old":                        {known, 4500 * time.Millisecond, bound, true, organisation.Wait},
		"known, old, has waited":            {known, 4500 * time.Millisecond, bound, false, organisation.Refuse},
		"known, no bound":                   {known, time.Hour, 0, false, organisation.Accept},
		"unknown, recent":                   {unknown, time.Second, bound, true, organisation.Deny},
		"unknown, old":                      {unknown, 1001 * time.Millisecond, bound, true, organisation.Wait},
		"unknown, old, no bound":            {unknown, 1001 * time.Millisecond, 0, false, organisation.Refuse},
		"missing, old, as it may be public": {nil, 2 * time.Second, bound, false, organisation.Refuse},
	} {
		view := organisation.View{Directory: newDirectory(t), Read: jujubeclock.RequestedNow(1)}
		verdict := view.Decide(jujubeclock.Instant(1).Add(c.age), c.authorization, c.bound, c.mayWait)
		assert.Check(t, verdict.Decision == c.want && verdict.Age == c.age, "%s: %+v", name, verdict)
	}
}
