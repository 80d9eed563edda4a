package jujubenode_test

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubeprompt"
	"jujubepier.example/entry/services/jujubenode"
)

// TestPromptsReachTheGateway guards against prompts that are lost on the way from the submission over its record to the gateways, which
// start the items and count their tokens.
func TestPromptsReachTheGateway(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, _ := cluster.start("a")
	b, _, _ := cluster.start("b")
	submission := newSubmission("s1", 12)
	for i := range submission.Items {
		submission.Items[i].Prompt = jujubeprompt.Prompt{{ID: 7, Tokens: 1000}, {ID: jujubeprompt.PartID(100 + i), Tokens: 16}}
	}
	assert.NilError(t, a.Submit(t.Context(), route, submission))
	assert.Equal(t, len(readAll(t, b, "s1")), 12)
	sent, kept := 0, 0
	for _, node := range []*jujubenode.Node{a, b} {
		sent += counter(t, node, "jujube_node_prompt_tokens_total ")
		kept += counter(t, node, "jujube_node_prompt_tokens_kept_total ")
	}
	assert.Assert(t, sent >= 12*1016 && sent%1016 == 0, "%d", sent)
	assert.Assert(t, kept >= 10*1000 && kept < sent, "%d of %d: each of two engines reads the shared part once", kept, sent)
}

func counter(t *testing.T, node *jujubenode.Node, name string) int {
	t.Helper()
	var text strings.Builder
	node.WriteMetrics(&text)
	_, line, found := strings.Cut(text.String(), name)
	if !found {
		return 0
	}
	value, _, _ := strings.Cut(line, "\n")
	count, err := strconv.Atoi(value)
	assert.NilError(t, err)
	return count
}
