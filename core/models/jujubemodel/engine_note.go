package jujubemodel

// EngineNote is the state of an engine that its gateway, the instance through which requests reach it, sends to the others.
type EngineNote struct {
	Engine EndpointID
	// Recent is the moving average of the time per event, zero without recent events. Usual is the average of
	// undisturbed work.
	Recent Duration `json:",omitzero"`
	Usual  Duration
	// Load is the number of items that the engine runs or is about to receive.
	Load int `json:",omitempty"`
}
