package jujubeclaim_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
)

// FuzzParseKey guards against two spellings of the same prefix, which would yield two keys that both run, and against keys of
// unlimited length.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{
		"", "~~~", "entry-1~1796353825613~1796353832~own", "entry-1~01~1~own", "entry-1~+1~1~own", "entry-1~-1~-0~own",
		"entry-1~1~1~", "entry-1~1~1~a~b", "~1~1~own", "a~9223372036854775808~1~own", "a~1~1~" + strings.Repeat("x", 200),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, key string) {
		prefix, ok := jujubeclaim.ParseKey(model.IdempotencyKey(key))
		if !ok {
			return
		}
		own, isPrefixed := strings.CutPrefix(key, prefix.String()+"~")
		assert.Assert(t, isPrefixed && own != "" && prefix.Instance != "", "%q", key)
		assert.Assert(t, len(key) <= jujubeclaim.MaxKeyLength, "%q", key)
	})
}
