package org.agatefield.daemon.connections;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Tells the decoder of a connection how far responses are written. Confined to its event loop. */
final class ResponseWatch extends ChannelOutboundHandlerAdapter {
  private final CountingRequestDecoder decoder;

  ResponseWatch(CountingRequestDecoder decoder) {
    this.decoder = decoder;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean interim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (message instanceof HttpResponse && !interim) {
      decoder.responseBegan();
    }
    if (!(message instanceof LastHttpContent) || interim) {
      context.write(message, promise);
      return;
    }
    decoder.responseComplete();
    context.write(message, promise.unvoid().addListener(sent -> decoder.responseSent()));
  }
}
