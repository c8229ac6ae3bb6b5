package org.lovagethread.gateway.http;

import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.duty.DutyApi;
import org.lovagethread.gateway.store.ObjectStore;

/**
 * The ports through which a gateway meets the platform.
 *
 * @param store the store
 * @param duties the calls that one gateway at a time makes
 * @param configurationDecoder decodes configurations and entries of upstreams
 * @param headerCodec translates headers
 * @param discoveryProtocol translates questions where to connect
 */
public record PlatformPorts(
        ObjectStore store,
        DutyApi duties,
        ConfigurationDecoder configurationDecoder,
        HeaderCodec headerCodec,
        DiscoveryProtocol discoveryProtocol) {}
