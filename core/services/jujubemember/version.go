package jujubemember

import (
	"encoding/json"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// The version of a member update consists, from the highest bit, of incarnation (42 bits), leaving (1), refutation (18)
// and rank (2). So a higher incarnation replaces any state of a lower one, leaving is never revoked within an
// incarnation, and only a higher refutation, which the member alone issues, ends a suspicion or a death.
const (
	rankBits         = 2
	refutationBits   = 18
	leavingShift     = rankBits + refutationBits
	incarnationShift = leavingShift + 1
	maxRefutation    = 1<<refutationBits - 1
)

const (
	rankAlive   = 1
	rankSuspect = 2
	rankDead    = 3
)

// memberVersion is the decoded version of a member update.
type memberVersion struct {
	incarnation model.Incarnation
	leaving     bool
	refutation  int64
	rank        int64
}

func (s memberVersion) encode() int64 {
	version := int64(s.incarnation)<<incarnationShift | min(s.refutation, maxRefutation)<<rankBits | s.rank
	if s.leaving {
		version |= 1 << leavingShift
	}
	return version
}

func decodeMemberVersion(version int64) memberVersion {
	return memberVersion{
		incarnation: model.Incarnation(version >> incarnationShift),
		leaving:     version>>leavingShift&1 == 1,
		refutation:  version >> rankBits & maxRefutation,
		rank:        version & (1<<rankBits - 1),
	}
}

// state returns the member's state. Leaving takes precedence over Suspect, so that a suspicion of a leaving member and its
// refutation don't make the member appear to have returned.
func (s memberVersion) state() model.MemberState {
	switch {
	case s.rank == rankDead:
		return model.MemberDead
	case s.leaving:
		return model.MemberLeaving
	case s.rank == rankSuspect:
		return model.MemberSuspect
	default:
		return model.MemberAlive
	}
}

// memberPayload is the JSON payload of a member update. Its keys are short because it is sent with each change of a
// member.
type memberPayload struct {
	DataCentre    model.DataCentre `json:"D"`
	PeerAddress   string           `json:"P"`
	CallerAddress string           `json:"C"`
}

func newMemberUpdate(member model.Member, version memberVersion) model.Rumour {
	payload, err := json.Marshal(memberPayload{member.DataCentre, member.PeerAddress, member.CallerAddress})
	if err != nil {
		payload = []byte("{}") // unreachable: marshalling strings doesn't fail
	}
	return model.Rumour{Kind: model.GossipMember, Key: string(member.ID), Version: version.encode(), Payload: payload}
}

func parseMemberUpdate(update model.Rumour) (model.Member, error) {
	var payload memberPayload
	if err := json.Unmarshal(update.Payload, &payload); err != nil {
		return model.Member{}, errors.Wrap(err, "decode payload of member update")
	}
	version := decodeMemberVersion(update.Version)
	if version.rank == 0 || update.Key == "" {
		return model.Member{}, errors.New("member update has no rank or key")
	}
	return model.Member{
		ID: model.InstanceID(update.Key), Incarnation: version.incarnation, DataCentre: payload.DataCentre,
		PeerAddress: payload.PeerAddress, CallerAddress: payload.CallerAddress,
		State: version.state(), Refutation: version.refutation,
	}, nil
}
