package io.hingehoist.config;

import io.hingehoist.settings.AgentSection;
import io.hingehoist.settings.CallersSection;
import io.hingehoist.settings.ControlSection;
import io.hingehoist.settings.EntrySection;
import io.hingehoist.settings.HostSection;
import io.hingehoist.settings.NodeSection;
import io.hingehoist.settings.OwnerSection;
import java.util.Optional;

/** The validated settings of one process. A section is present if the process has its role. */
public record DaemonSettings(
    NodeSection node,
    CallersSection callers,
    Optional<ControlSection> control,
    Optional<EntrySection> entry,
    Optional<AgentSection> agent,
    Optional<OwnerSection> owner,
    Optional<HostSection> host) {}
