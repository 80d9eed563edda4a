package jujubemodel

// EngineNote is what the instance that keeps an engine tells the others of it.
type EngineNote struct {
	Engine EndpointID
	// Recent is the time of an event lately, zero when nothing ran; Usual that of undisturbed work.
	Recent Duration `json:",omitzero"`
	Usual  Duration
	// Load is how many items the engine has or is about to get.
	Load int `json:",omitempty"`
}
