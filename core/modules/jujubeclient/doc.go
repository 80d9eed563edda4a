// Package jujubeclient holds the HTTP clients of the platform's services, of endpoints and of entry instances.
package jujubeclient
